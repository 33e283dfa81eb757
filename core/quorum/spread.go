package quorum

import (
	"cmp"
	"slices"

	"clementinelock/core"
)

// Place is where a host stands.
type Place struct {
	Region string
	Zone   string
}

// crowding is by how much a change raises the sums of the squares of the numbers of voters, by region and by availability zone. The
// sums are least if voters are spread evenly; the regions count first.
type crowding struct {
	regions, zones int
}

func (c crowding) compare(other crowding) int {
	return cmp.Or(cmp.Compare(c.regions, other.regions), cmp.Compare(c.zones, other.zones))
}

// spread holds the numbers of voters by region and by availability zone.
type spread struct {
	regions map[string]int
	zones   map[Place]int
}

// spreadOf counts voters. Those whose place is not known count as one zone.
func (r *Replica) spreadOf(voters Members) spread {
	s := spread{map[string]int{}, map[Place]int{}}
	for _, voter := range voters {
		place, _ := r.placeOf(voter.Name)
		s.regions[place.Region]++
		s.zones[place]++
	}
	return s
}

// add returns the crowding of one more voter.
func (s spread) add(place Place) crowding {
	return crowding{2*s.regions[place.Region] + 1, 2*s.zones[place] + 1}
}

// exchange returns the crowding of a voter at another place in place of one.
func (s spread) exchange(from, to Place) crowding {
	c := crowding{}
	if from.Region != to.Region {
		c.regions = 2*(s.regions[to.Region]-s.regions[from.Region]) + 2
	}
	if from != to {
		c.zones = 2*(s.zones[to]-s.zones[from]) + 2
	}
	return c
}

// placeOf returns where a host stands; known is false if this replica has not learned it.
func (r *Replica) placeOf(name string) (place Place, known bool) {
	if r.PlaceOf == nil {
		return Place{}, false
	}
	return r.PlaceOf(name)
}

// mayVote reports whether a member is a learner that is heard, has caught up and has not announced its stop.
func (r *Replica) mayVote(now core.Millis, member Member) bool {
	p := r.peers[memberKey(member)]
	return !member.Voter && p != nil && now-p.lastContact <= r.Timing.MinElectionTimeout &&
		p.match+maxPromotionLag >= r.log.lastIndex() && p.match >= r.membersIndex && !r.announcedStop(member)
}

// nextVoter returns the learner to be promoted among those that may vote and for which there is room: one that replaces its host's former
// incarnation, or else the one that leaves the voters that are heard spread best. One whose place is not known comes last.
func (r *Replica) nextVoter(now core.Millis) (next Member, ok bool) {
	voters := r.members.voters()
	heard := spread{}
	var best crowding
	nextKnown := false
	for _, member := range r.members {
		if !r.mayVote(now, member) || !r.hasRoom(now, member) {
			continue
		}
		if voters.has(member.Name) {
			return member, true
		}
		if heard.regions == nil {
			heard = r.spreadOf(slices.DeleteFunc(slices.Clone(voters), func(voter Member) bool { return r.silence(now, voter) > r.silentTimeout() }))
		}
		place, known := r.placeOf(member.Name)
		c := heard.add(place)
		if !ok || known && !nextKnown || known == nextKnown && c.compare(best) < 0 {
			next, nextKnown, best, ok = member, known, c, true
		}
	}
	return next, ok
}

// crowdedVoter returns a voter in whose place a learner would spread the voters better. It returns none unless all voters are heard and
// their places known, so that a host which is briefly out of reach changes nothing.
func (r *Replica) crowdedVoter(now core.Millis) (crowded Member, ok bool) {
	if r.MaxVoters == 0 || r.PlaceOf == nil {
		return Member{}, false
	}
	voters := r.members.voters()
	for _, voter := range voters {
		if _, known := r.placeOf(voter.Name); !known || !r.hears(now, voter, r.Timing.MinElectionTimeout) || r.announcedStop(voter) {
			return Member{}, false
		}
	}
	current := r.spreadOf(voters)
	best := crowding{}
	for _, learner := range r.members {
		to, known := r.placeOf(learner.Name)
		if !known || !r.mayVote(now, learner) || voters.has(learner.Name) {
			continue
		}
		for _, voter := range voters {
			from, _ := r.placeOf(voter.Name)
			if c := current.exchange(from, to); voter.Name != r.Self && c.compare(best) < 0 {
				crowded, best, ok = voter, c, true
			}
		}
	}
	return crowded, ok
}

// has reports whether a member has the name.
func (m Members) has(name string) bool {
	_, ok := m.find(name)
	return ok
}

// demote makes a voter a learner.
func (m Members) demote(name string, incarnation uint64) Members {
	return append(m.without(name, incarnation), Member{Name: name, Incarnation: incarnation})
}
