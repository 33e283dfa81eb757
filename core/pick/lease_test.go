package pick_test

import (
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/pick"
)

// testLease is a contact lease.
const testLease = 750 * core.Millisecond

// TestRequestChosenBeforeTheLeaseEnds guards against a request that waits for a connection, or in a host that is frozen, while the
// lease ends, and is then sent to an endpoint that may be cold as to a warm one.
func TestRequestChosenBeforeTheLeaseEnds(t *testing.T) {
	for _, c := range []struct {
		name     string
		chosenAt core.Millis
		sentAt   core.Millis
		contact  core.Millis
		ready    bool
	}{
		{"sent within the lease", 100, 700, 0, true},
		{"sent after the lease", 700, 800, 0, false},
		{"sent after a freeze", 100, 3000, 0, false},
		{"sent after a freeze, with new contact", 100, 3000, 2900, true},
		{"chosen as an isolated host's part", 2000, 2100, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			zone := newColdZone(t, 1, nil)
			host, began := zone.hosts[0], zone.now
			host.RecordContact(began, testLease)
			choice, refusal := host.Choose(began+c.chosenAt, pick.Request{Service: "s", Remaining: core.Minute})
			if refusal != nil {
				t.Fatal(refusal)
			}
			host.RecordContact(began+c.contact, testLease)
			if got := host.IsReady(began+c.sentAt, choice); got != c.ready {
				t.Errorf("the endpoint is ready for the request: %t, expected %t", got, c.ready)
			}
		})
	}
}

// TestRequestsBeforeTheLeaseEndsCount guards against hosts that send an endpoint as much as it takes until their lease ends, and their
// part of its cold rate besides: it may have been cold for a moment then.
func TestRequestsBeforeTheLeaseEndsCount(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 9} {
		zone := newColdZone(t, hosts, nil)
		for _, host := range zone.hosts {
			host.RecordContact(zone.now, testLease)
		}
		end := zone.now + testLease
		sent := make([][]core.Millis, hosts)
		for ; zone.now < end+4*core.Second; zone.now += 20 {
			for _, i := range zone.rand.Perm(hosts) {
				choice, refusal := zone.hosts[i].Choose(zone.now, pick.Request{Service: "s", Remaining: core.Minute})
				if refusal != nil {
					continue
				}
				zone.hosts[i].Done(zone.now, choice, pick.Good, 1, nil)
				sent[i] = append(sent[i], zone.now)
				inSecond := len(sent[i]) - slices.IndexFunc(sent[i], func(at core.Millis) bool { return zone.now-at < core.Second })
				if zone.now > end && float64(inSecond) > coldBound/float64(hosts) {
					t.Fatalf("%d hosts: %s after the end of its lease a host sends its request %d of one second, its part is %.1f", hosts, zone.now-end, inSecond, coldBound/float64(hosts))
				}
			}
		}
		for i := range sent {
			if last := sent[i][len(sent[i])-1]; last <= end {
				t.Errorf("%d hosts: host %d has sent nothing since the end of its lease", hosts, i)
			}
		}
	}
}
