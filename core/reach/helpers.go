package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
)

// Bounds of what a helper gets.
const (
	// maxPerHelper is the number of requests that wait at one helper.
	maxPerHelper = 64
	// fullTimeout is how long a helper without room gets nothing, unwillingTimeout one that does not take requests of this
	// host, such as one that does not know of its cut yet, and brokenTimeout one that can't be reached.
	fullTimeout      = 100 * core.Millisecond
	unwillingTimeout = 250 * core.Millisecond
	brokenTimeout    = core.Second
	// A helper that has answered none of minSilentRequests for helperSilence gets requests only if there is no other.
	minSilentRequests = 2
	helperSilence     = 700 * core.Millisecond
)

// Helper is an entry host that may serve the callers of one that is cut off.
type Helper struct {
	// Encoded as an array without field names, as there are several in a message.
	_ struct{} `cbor:",toarray"`

	Name   string
	Region string
	Zone   string
}

// Result is how a helper dealt with a request.
type Result int

// The results of a helper.
const (
	// Took means that the helper has dealt with the request.
	Took Result = iota
	// Full means that it had no room for it.
	Full
	// Unwilling means that it takes no requests of this host.
	Unwilling
	// Broken means that it can't be reached, or that its answer broke off.
	Broken
	// Unanswered means that the request was given up before its answer.
	Unanswered
)

var resultNames = []string{"Took", "Full", "Unwilling", "Broken", "Unanswered"}

// String returns the result's name.
func (r Result) String() string {
	return resultNames[r]
}

// Helpers are the entry hosts that may serve this one's callers. Set the exported fields before use; calls must not
// overlap.
type Helpers struct {
	Region string
	Zone   string
	Rand   *rand.Rand

	states []*helperState
}

// helperState is what this host knows of a helper.
type helperState struct {
	Helper
	inFlight int
	// silentSince is when the helper last answered, or got the first of the requests in flight.
	silentSince core.Millis
	// avoidUntil is until when the helper gets nothing.
	avoidUntil core.Millis
}

// Set replaces the helpers; what is known of those that remain is kept.
func (h *Helpers) Set(helpers []Helper) {
	var next []*helperState
	for _, each := range helpers {
		i := slices.IndexFunc(h.states, func(s *helperState) bool { return s.Name == each.Name })
		if i >= 0 {
			h.states[i].Helper = each
			next = append(next, h.states[i])
			continue
		}
		next = append(next, &helperState{Helper: each})
	}
	h.states = next
}

// Len returns the number of helpers.
func (h *Helpers) Len() int {
	return len(h.states)
}

// distance returns the distance to a helper: 0 in the same availability zone, 1 in the same region, 2 elsewhere.
func (h *Helpers) distance(helper Helper) int {
	switch {
	case helper.Zone == h.Zone:
		return 0
	case helper.Region == h.Region:
		return 1
	}
	return 2
}

// Choose returns the helper for a request, and counts the request there until Done: of the nearest that may take it the
// one with the fewest requests of this host. It returns false if there is none. regions lists the regions that may get the
// request beside this host's own; none means all.
func (h *Helpers) Choose(now core.Millis, tried []string, regions []string) (Helper, bool) {
	var best *helperState
	for _, i := range h.Rand.Perm(len(h.states)) {
		s := h.states[i]
		allowed := len(regions) == 0 || s.Region == h.Region || slices.Contains(regions, s.Region)
		if !allowed || now < s.avoidUntil || s.inFlight >= maxPerHelper || slices.Contains(tried, s.Name) {
			continue
		}
		if best == nil || h.compare(now, s, best) < 0 {
			best = s
		}
	}
	if best == nil {
		return Helper{}, false
	}
	if best.inFlight == 0 {
		best.silentSince = now
	}
	best.inFlight++
	return best.Helper, true
}

// compare orders helpers by preference. Those that may have stopped come last.
func (h *Helpers) compare(now core.Millis, a, b *helperState) int {
	silence := func(s *helperState) int {
		if s.isSilent(now) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(silence(a), silence(b)), cmp.Compare(h.distance(a.Helper), h.distance(b.Helper)), cmp.Compare(a.inFlight, b.inFlight))
}

// isSilent reports whether the helper has answered none of several requests for some time.
func (s *helperState) isSilent(now core.Millis) bool {
	return s.inFlight >= minSilentRequests && now-s.silentSince > helperSilence
}

// Done records how a helper dealt with a request. One that may have been removed meanwhile is ignored.
func (h *Helpers) Done(now core.Millis, name string, result Result) {
	i := slices.IndexFunc(h.states, func(s *helperState) bool { return s.Name == name })
	if i < 0 {
		return
	}
	s := h.states[i]
	s.inFlight = max(0, s.inFlight-1)
	if result != Unanswered {
		s.silentSince = now
	}
	switch result {
	case Took, Unanswered:
	case Full:
		s.avoidUntil = now + fullTimeout
	case Unwilling:
		s.avoidUntil = now + unwillingTimeout
	case Broken:
		s.avoidUntil = now + brokenTimeout
	}
}

// Dump is one helper for operators.
type Dump struct {
	Helper
	InFlight int
	// Avoided is for how much longer it gets nothing.
	Avoided core.Millis
}

// Dump returns the helpers for operators.
func (h *Helpers) Dump(now core.Millis) []Dump {
	out := make([]Dump, 0, len(h.states))
	for _, s := range h.states {
		out = append(out, Dump{s.Helper, s.inFlight, max(0, s.avoidUntil-now)})
	}
	return out
}

// Room is how many requests of other hosts a helper takes at once.
type Room struct {
	inFlight int
}

// A helper takes minRoom handed-over requests at once however few callers of its own it has, and roomPerOwn more for each
// request of its own callers.
const (
	minRoom    = 48
	roomPerOwn = 2
)

// Enter counts a request that another host hands over, until Leave; it returns false if there is no room, so that this
// host's own callers, of whom own requests are in flight, are served as before.
func (r *Room) Enter(own int) bool {
	if r.inFlight >= minRoom+roomPerOwn*own {
		return false
	}
	r.inFlight++
	return true
}

// Leave ends a request that Enter admitted.
func (r *Room) Leave() {
	r.inFlight--
}

// InFlight returns the number of requests of other hosts that this host serves now.
func (r *Room) InFlight() int {
	return r.inFlight
}
