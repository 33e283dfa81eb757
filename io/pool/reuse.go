package pool

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// reuseTerms is what an answer says about further requests on its connection. It is read before the answer is handed over, since the
// answer's header belongs to its receiver from then on.
type reuseTerms struct {
	isAllowed bool
	// idle is the idle time that the endpoint grants, less a fifth of it.
	idle        time.Duration
	isIdleKnown bool
}

func (p *Pool) reuseTerms(response *http.Response) reuseTerms {
	terms := reuseTerms{isAllowed: !response.Close && !p.Dialect.IsLeaving(response.Header)}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(text)
		if found && err == nil {
			terms.idle = time.Duration(min(max(0, seconds), maxKeepAliveSeconds)) * time.Second * 4 / 5
			terms.isIdleKnown = true
		}
	}
	return terms
}

// release returns the connection to the pool unless it can't be reused.
func (c *connection) release(e *exchange, terms reuseTerms) {
	written := true
	select {
	case <-e.written:
	case <-time.After(writeGracePeriod):
		written = false
	}
	c.mutex.Lock()
	c.pending = nil
	c.busy = false
	now := time.Now()
	c.idleSince = now
	if terms.isIdleKnown && !c.expiresAt.IsZero() {
		c.expiresAt = now.Add(terms.idle)
	}
	keep := written && terms.isAllowed && !c.closed && !c.expiresAt.Before(now) && c.reader.Buffered() == 0 && len(c.carried) < maxCarried
	c.closed = c.closed || !keep
	c.mutex.Unlock()
	if keep {
		c.pool.put(c)
	}
}
