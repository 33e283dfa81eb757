package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"clementinelock/core"
	"clementinelock/core/hold"
	"clementinelock/io/pool"
)

// Estimates of the memory that a connection takes, in bytes.
const (
	// connectionBytes covers the buffers and goroutines of a connection, exchangeBytes those of a request under way.
	connectionBytes = 16 << 10
	exchangeBytes   = 8 << 10
	// openBytes is what each connection gets at once, which is enough for an ordinary request with its answer.
	openBytes = 32 << 10
	// reserveStep is the unit in which a connection asks for more, so that few requests need the lock of all connections.
	reserveStep = 16 << 10
	// headerLineBytes is the memory that a parsed header line takes beside its text: strings, slices and a place in a map, of
	// which there may be twice as many as needed.
	headerLineBytes = 96
	// headerTextFactor counts the text of a header twice, since a part of it is copied.
	headerTextFactor = 2
	// firstBodyBytes is the buffer in which a body begins, as a part of exchangeBytes.
	firstBodyBytes = 4 << 10
	// stalledAfter is how long a caller may leave an answer unread before its connection counts as stalled.
	stalledAfter = core.Second
)

// errNoRoom refuses to read more of a request for which no memory is left.
var errNoRoom = errors.New("no memory is left for the request")

// room is the budget of all connections of a server.
type room struct {
	mutex  sync.Mutex
	budget hold.Budget
}

func (r *room) open(now core.Millis, c *conn) *hold.Account {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget.Open(now, c, openBytes)
}

func (r *room) close(account *hold.Account) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget.Close(account)
}

// grow adds bytes to an account; unless force is set, they may be refused.
func (r *room) grow(now core.Millis, account *hold.Account, bytes int64, force bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if force {
		r.budget.Force(now, account, bytes)
		return true
	}
	return r.budget.Grow(now, account, bytes)
}

func (r *room) shrink(account *hold.Account, bytes int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget.Shrink(account, bytes)
}

// Held returns what is held for the connections of callers.
func (s *Server) Held() hold.Counts {
	s.room.mutex.Lock()
	defer s.room.mutex.Unlock()
	return s.room.budget.Counts()
}

// held is the part of the budget that a connection has.
type held struct {
	account *hold.Account
	mutex   sync.Mutex
	// used is the estimate of what the connection holds, reserved what its account has.
	used     int64
	reserved int64
}

// add counts bytes as held by the connection. Unless force is set, it returns false if there is no room for them.
func (c *conn) add(n int64, force bool) bool {
	h := &c.held
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if more := h.used + n - h.reserved; more > 0 {
		more = (more + reserveStep - 1) / reserveStep * reserveStep
		if !c.server.room.grow(c.server.Now(), h.account, more, force) {
			return false
		}
		h.reserved += more
	}
	h.used += n
	return true
}

// subtract takes back what add has counted.
func (c *conn) subtract(n int64) {
	h := &c.held
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.used -= n
	if spare := (h.reserved - max(h.used, openBytes)) / reserveStep * reserveStep; spare > 0 {
		c.server.room.shrink(h.account, spare)
		h.reserved -= spare
	}
}

// reserve counts bytes that are needed to read on. While there is no room it waits for the answers to preceding requests; it
// returns errNoRoom if there is none after these.
func (c *conn) reserve(n int64) error {
	for !c.add(n, false) {
		if c.open.Load() == 0 {
			return errNoRoom
		}
		if err := c.awaitAnswered(); err != nil {
			return err
		}
		// The caller was not at fault for the time that has passed.
		c.setReadDeadline(time.Now().Add(c.readTimeout))
	}
	return nil
}

// awaitAnswered waits until a request of the connection has its answer.
func (c *conn) awaitAnswered() error {
	select {
	case <-c.answered:
		return nil
	case <-c.writerDone:
		return errNoRoom
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// pipelinedShare is the part of MaxConnections up to which requests under way let others start behind them on a connection: each
// may need a descriptor of its own.
const pipelinedShare = 0.5

// awaitTurn lets a request behind others wait for their answers while many requests are under way.
func (c *conn) awaitTurn() error {
	s := c.server
	for s.MaxConnections > 0 && c.open.Load() > 0 && float64(s.active.Load()) >= pipelinedShare*float64(s.MaxConnections) {
		if err := c.awaitAnswered(); err != nil {
			return err
		}
	}
	return nil
}

// headerBytes estimates the memory that a header of that text takes once it is parsed.
func headerBytes(text []byte) int64 {
	return headerTextFactor*int64(len(text)) + headerLineBytes*int64(bytes.Count(text, []byte{'\n'}))
}

// parsedBytes estimates the memory of a parsed header.
func parsedBytes(header http.Header) (size int64) {
	for name, values := range header {
		size += headerTextFactor * int64(len(name))
		for _, value := range values {
			size += headerLineBytes + headerTextFactor*int64(len(value))
		}
	}
	return size
}

// headerMeter counts the memory of a header that is being read, before it is parsed.
type headerMeter struct {
	io.Reader
	conn   *conn
	active bool
	// counted is what was counted since begin.
	counted int64
}

// readHeader reads a header, whose memory is counted for the request from then on.
func (c *conn) readHeader() (*http.Request, error) {
	if err := c.header.begin(); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	return request, c.header.end(exchangeBytes + parsedBytes(request.Header))
}

// hold counts bytes that are needed to read the rest of a request.
func (c *conn) hold(x *exchange, n int64) error {
	err := c.reserve(n)
	if err == nil {
		x.held += n
	}
	return err
}

// holdExpected counts an answer of the size that is expected before the request is passed on, since it arrives whole.
func (c *conn) holdExpected(x *exchange) error {
	if table := c.server.table.Load(); table != nil {
		if route := table.Find(hostOf(x.request.Host), x.path); route != nil {
			x.route, x.expected = route.Name, c.server.answers.expected(route.Name)
		}
	}
	return c.hold(x, x.expected)
}

// holdAnswer counts the answer to a request, which is in memory already, in place of the expected one.
func (c *conn) holdAnswer(x *exchange, answer *pool.Answer) {
	n := int64(len(answer.Body)) + parsedBytes(answer.Header)
	if answer.Rest != nil {
		n += copyBufferBytes
	}
	c.server.answers.record(x.route, n)
	more := n - x.expected
	if more > 0 {
		c.add(more, true)
	} else {
		c.subtract(-more)
	}
	x.expected = 0
	x.held += more
}

const (
	// answerWeight is the weight of the newest answer in the size that is expected of a route's next one.
	answerWeight = 1.0 / 8
	// maxAnswerSizes bounds the routes whose sizes are kept: configurations add and remove routes for as long as a host runs.
	maxAnswerSizes = 4096
)

// answerSizes holds the mean size of the latest answers of each route. Its zero value is empty.
type answerSizes struct {
	mutex   sync.Mutex
	byRoute map[string]float64
}

func (a *answerSizes) expected(route string) int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return int64(a.byRoute[route])
}

func (a *answerSizes) record(route string, n int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.byRoute == nil || len(a.byRoute) >= maxAnswerSizes {
		a.byRoute = map[string]float64{}
	}
	a.byRoute[route] += answerWeight * (float64(n) - a.byRoute[route])
}

// begin starts to count a header, whose first bytes are in the connection's buffer.
func (m *headerMeter) begin() error {
	m.active = true
	// The bytes are buffered, so that there is no error.
	buffered, _ := m.conn.reader.Peek(m.conn.reader.Buffered())
	return m.count(buffered)
}

// end ends the count, and counts the request that was read in place of it.
func (m *headerMeter) end(size int64) error {
	more := size - m.counted
	m.active, m.counted = false, 0
	if more > 0 {
		return m.conn.reserve(more)
	}
	m.conn.subtract(-more)
	return nil
}

func (m *headerMeter) count(text []byte) error {
	n := headerBytes(text)
	if err := m.conn.reserve(n); err != nil {
		return err
	}
	m.counted += n
	return nil
}

// Read reads a part of a header, or of a body, which is not counted here.
func (m *headerMeter) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	if m.active && n > 0 {
		if refused := m.count(p[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// StalledSince returns the time of the last progress if the connection waits for its caller: for a request, for the rest of
// one that was not passed on yet, or until the caller reads an answer.
func (c *conn) StalledSince() (since core.Millis, stalled bool) {
	if c.open.Load() == 0 {
		return core.Millis(c.progressAt.Load()), true
	}
	since = core.Millis(c.writingSince.Load())
	return since, since != 0 && c.serving.Load() == 0 && c.server.Now()-since >= stalledAfter
}

// Evict closes the connection unless a request is under way. A request that is being read is answered by 503.
func (c *conn) Evict() bool {
	c.mutex.Lock()
	_, stalled := c.StalledSince()
	if stalled {
		c.evicted.Store(true)
	}
	c.mutex.Unlock()
	if !stalled {
		return false
	}
	if c.open.Load() > 0 {
		_ = c.conn.Close()
		return true
	}
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// setReadDeadline sets the time by which the caller must have sent something; it has passed for an evicted connection.
func (c *conn) setReadDeadline(end time.Time) {
	_ = c.conn.SetReadDeadline(end)
	if c.evicted.Load() {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// progress records that the caller has sent or read something.
func (c *conn) progress() {
	c.progressAt.Store(int64(c.server.Now()))
}

// beginWrite records that bytes are about to be written to the caller.
func (c *conn) beginWrite() {
	c.writingSince.Store(int64(max(c.server.Now(), 1)))
}

// noRoomExchange returns an exchange that refuses a request which was not passed on.
func noRoomExchange() *exchange {
	x := refusedExchange(core.Answers[core.Overloaded].Status)
	r := <-x.reply
	r.kind, r.ran, r.retryAfter = core.Overloaded, core.RanNo, core.Answers[core.Overloaded].RetryAfter
	x.reply <- r
	return x
}
