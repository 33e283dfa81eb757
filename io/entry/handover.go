package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementinelock/core"
	"clementinelock/core/pick"
	"clementinelock/core/reach"
	"clementinelock/io/pool"
	"clementinelock/io/proto"
)

// maxHandovers is the number of entry hosts that a request is handed over to at most.
const maxHandovers = 3

// handover is what an entry host tells with a request that it hands over.
type handover struct {
	// reached is the number of attempts that endpoints may have run.
	reached int
	// counted is set if the request is in a budget of extra attempts already.
	counted bool
	// version is that of the routes by which it was handed over.
	version uint64
	// attempts is the number of further attempts that may reach endpoints; hosts of builds that don't tell it count one.
	attempts int
	// customer is the one that the request's key belongs to, whose quota was charged; empty if it was not identified.
	customer string
}

// handoverCustomer precedes the quoted name of the customer, which only hosts that know customers write.
const handoverCustomer = " Customer="

// String encodes the handover as the value of the header proto.Handover.
func (h handover) String() string {
	text := fmt.Sprintf("Reached=%d Counted=%t Version=%d Attempts=%d", h.reached, h.counted, h.version, h.attempts)
	if h.customer != "" {
		text += handoverCustomer + strconv.Quote(h.customer)
	}
	return text
}

// parseHandover decodes the value of the header proto.Handover; what can't be read is that of a first attempt.
func parseHandover(text string) *handover {
	h := &handover{}
	text, customer, found := strings.Cut(text, handoverCustomer)
	if found {
		// A name that can't be read is that of no customer, so that the request is refused.
		if name, err := strconv.Unquote(customer); err == nil {
			customer = name
		}
		h.customer = customer
	}
	_, _ = fmt.Sscanf(text, "Reached=%d Counted=%t Version=%d Attempts=%d", &h.reached, &h.counted, &h.version, &h.attempts)
	h.reached, h.attempts = min(max(0, h.reached), mostAttempts), min(max(1, h.attempts), mostAttempts)
	return h
}

// goesToHelper reports whether the next attempt goes to another entry host.
func (t *attempts) goesToHelper() bool {
	s := t.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return t.exchange.handover == nil && s.Helpers != nil && s.Helpers.Len() > 0 && s.reach.watch.HandsOver(s.Now(), s.Picks.Rand.Float64())
}

// mayHandOver reports whether another entry host may be tried although all attempts were made, none of which has reached an
// endpoint: the host was recognised as cut off meanwhile.
func (t *attempts) mayHandOver() bool {
	return t.exchange.handover == nil && len(t.triedHelpers) < maxHandovers && t.server.Cut()
}

// startHandover hands the request over to another entry host. It reports whether it has; if no other host can take it, it
// returns a refusal, except where the host may try by itself again.
func (t *attempts) startHandover(ctx context.Context) (started bool, refusal *core.Refusal) {
	s, record := t.server, t.record
	s.mutex.Lock()
	defer s.mutex.Unlock()
	helper, found := reach.Helper{}, false
	if len(t.triedHelpers) < maxHandovers {
		helper, found = s.Helpers.Choose(s.Now(), t.triedHelpers, t.pickRequest.Regions)
	}
	if !found {
		if !s.reach.watch.IsCut() {
			return false, nil
		}
		return false, core.Refuse(core.NoUpstream, core.RanNo, "this host reaches no endpoint, and none of %d entry hosts takes the request", s.Helpers.Len())
	}
	t.triedHelpers = append(t.triedHelpers, helper.Name)
	record.Handovers++
	record.Helper = helper.Name
	// A helper counts the request before its first attempt.
	h := handover{reached: t.reached, counted: t.counted || t.reached > 0, version: record.Version, attempts: t.attemptsForHelper(), customer: t.exchange.identity.name()}
	t.inFlight++
	t.reached += h.attempts
	go func() { t.deliver(t.sendHandover(ctx, helper.Name, h)) }()
	return true, nil
}

// attemptsForHelper returns how many of the remaining attempts the helper that was chosen last gets: all but one for each
// further helper, since one that falls silent may have used all of its own.
func (t *attempts) attemptsForHelper() int {
	further := min(maxHandovers, t.server.Helpers.Len()) - len(t.triedHelpers)
	return max(1, t.mayReach()-t.reached-max(0, further))
}

// sendHandover sends the request to another entry host.
func (t *attempts) sendHandover(ctx context.Context, name string, h handover) attemptResult {
	s := t.server
	target := pool.Target{Address: s.HelperAddress(name), Ready: func(time.Time) bool { return t.checkStopTime() == nil }, Deadline: time.Now().Add((t.deadline - s.Now()).Duration()), Extra: map[string]string{proto.Handover: h.String()}}
	result := s.HelperPool.Do(ctx, t.exchange.request, target)
	unused, told := unusedAttempts(result.Answer, h.attempts)
	outcome, refusal, dealt := s.classifyHandover(result)
	if told && refusal != nil && refusal.Kind == core.UpstreamFailed {
		// The helper has used its attempts; others may remain.
		refusal = nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Helpers.Done(s.Now(), name, dealt)
	s.reach.counts[dealt]++
	return attemptResult{result: result, outcome: outcome, refusal: refusal, counted: h.attempts, unused: unused}
}

// unusedAttempts returns how many of the attempts that another entry host was allowed have reached no endpoint, and whether
// its answer tells; that is not passed on.
func unusedAttempts(answer *pool.Answer, allowed int) (unused int, told bool) {
	if answer == nil {
		return 0, false
	}
	reached, err := strconv.Atoi(answer.Header.Get(proto.Reached))
	answer.Header.Del(proto.Reached)
	if err != nil || reached < 0 {
		return 0, false
	}
	return max(0, allowed-reached), true
}

// classifyHandover returns what the result of a handover says about the request, and about the host that it went to.
func (s *Server) classifyHandover(result pool.Result) (outcome pick.Outcome, refusal *core.Refusal, dealt reach.Result) {
	switch result.Ending {
	case pool.NotSent:
		return pick.Unreached, nil, reach.Broken
	case pool.Withdrawn:
		return pick.Withdrawn, nil, reach.Unanswered
	case pool.Cancelled:
		return pick.GivenUp, nil, reach.Unanswered
	case pool.Silent:
		return pick.Lost, nil, reach.Unanswered
	case pool.Answered:
	default:
		return pick.Lost, nil, reach.Broken
	}
	header := result.Answer.Header
	endpoint := header.Get(proto.Endpoint)
	header.Del(proto.Endpoint)
	if header.Get(s.Dialect.Stamp) != "" {
		s.recordNotice(endpoint, result.Answer.Status, header, time.Now())
		if result.Answer.Status >= http.StatusInternalServerError {
			return pick.Failed, nil, reach.Took
		}
		return pick.Good, nil, reach.Took
	}
	return s.classifyRefusal(result.Answer)
}

// classifyRefusal does the same for a refusal of the other host. Some tell that a further host may take the request; others
// hold everywhere.
func (s *Server) classifyRefusal(answer *pool.Answer) (outcome pick.Outcome, refusal *core.Refusal, dealt reach.Result) {
	kind, ran := core.Kind(answer.Header.Get(proto.Kind)), core.Ran(answer.Header.Get(proto.Ran))
	if ran != core.RanNo {
		kind = core.UpstreamFailed
		if answer.Status == http.StatusGatewayTimeout {
			kind = core.DeadlinePassed
		}
		refusal = core.Refuse(kind, core.RanUnknown, "another entry host answered %d", answer.Status)
		refusal.RetryAfter = 0
		return pick.Lost, refusal, reach.Took
	}
	switch kind {
	case core.CapReached:
		return pick.Unreached, nil, reach.Full
	case core.NotReady, core.Stopping, core.NoUpstream:
		return pick.Unreached, nil, reach.Unwilling
	case core.Overloaded, core.Quarantined, core.Unauthorized:
	default:
		kind = core.Overloaded
	}
	refusal = core.Refuse(kind, core.RanNo, "another entry host refused the request with %d", answer.Status)
	if after, err := proto.ParseRetryAfter(answer.Header.Get("Retry-After")); err == nil {
		refusal.RetryAfter = after
	}
	return pick.Unreached, refusal, reach.Took
}

// enterHandover admits a request that another entry host hands over, or refuses it: from a host that is not known to be cut
// off, by newer routes than this host's, or while this host is cut off itself or has no room.
func (s *Server) enterHandover(x *exchange, version uint64) *core.Refusal {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	from := addressOf(x.conn.conn)
	switch {
	case s.Now()-s.reach.cutHosts[from] > cutHostRetention:
		return core.Refuse(core.NotReady, core.RanNo, "entry host %s is not known to be cut off from endpoints", from)
	case x.handover.version > version:
		return core.Refuse(core.NotReady, core.RanNo, "version %d of the routes is not in force here yet", x.handover.version)
	case s.reach.watch.IsCut():
		return core.Refuse(core.NotReady, core.RanNo, "this host reaches no endpoint either")
	case !s.reach.room.Enter(s.Active() - s.reach.room.InFlight()):
		return core.Refuse(core.CapReached, core.RanNo, "this host serves %d requests of other entry hosts already", s.reach.room.InFlight())
	}
	s.reach.helped++
	return nil
}

func (s *Server) leaveHandover() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reach.room.Leave()
}
