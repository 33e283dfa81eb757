package fleet

import (
	"cmp"
	"slices"

	"clementinelock/core"
)

// updateQuotas tells the pool of this host which control hosts hold parts of the quotas, and the quotas in force.
func (c *Control) updateQuotas(now core.Millis, out *core.Effects) {
	document := c.store.Published().Document
	if c.QuotasOf == nil || document.Version == 0 {
		return
	}
	voters := make([]string, 0, maxVoters)
	for _, member := range c.quorum.Members() {
		if member.Voter {
			voters = append(voters, member.Name)
		}
	}
	slices.Sort(voters)
	c.pool.SetPools(now, slices.Compact(voters))
	if document.Version == c.quotaVersion {
		return
	}
	c.quotaVersion = document.Version
	limits, err := c.QuotasOf(document)
	if err != nil {
		// A control host has validated the document, so that only a newer program can have accepted it.
		out.Logf("quota", "Quotas of version %d can't be decoded, those before stay in force: %v.", document.Version, err)
		return
	}
	c.pool.SetLimits(now, document.Version, limits)
}

// QuotaPools returns the control hosts that this host draws tokens of quotas from: the one that it reports to, and the others
// by their distance.
func (e *Entry) QuotaPools() []string {
	all := slices.Clone(e.controls)
	slices.SortStableFunc(all, func(a, b ControlHost) int {
		return cmp.Compare(e.distance(a), e.distance(b))
	})
	names := make([]string, 0, len(all)+1)
	if e.currentControl != "" {
		names = append(names, e.currentControl)
	}
	for _, each := range all {
		if each.Name != e.currentControl {
			names = append(names, each.Name)
		}
	}
	return names
}
