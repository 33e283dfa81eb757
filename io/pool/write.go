package pool

import (
	"errors"
	"io"
	"strconv"
	"time"
)

func (c *connection) write(r *Request, t Target) (int, error) {
	now := time.Now()
	_ = c.conn.SetWriteDeadline(t.Deadline)
	return c.conn.Write(c.pool.head(r, t, now))
}

// stopWaiting ends the wait for the answer to a request that could not be written. The reader of a connection that has ended comes to its end
// by itself, after what the endpoint has sent before; and an answer that is passed on already needs no more of the request.
func (c *connection) stopWaiting(e *exchange) {
	if c.conn.HasEnded() {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !e.passedOn {
		// The interrupted reader closes the connection and ends the exchange.
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// writeStream sends a long body part by part.
func (c *connection) writeStream(r *Request, t Target, e *exchange) {
	_, err := c.write(r, t)
	chunked := r.Length < 0
	if err == nil && chunked {
		err = c.writeChunk(r.Body)
	}
	buffer := make([]byte, copyBufferBytes)
	for err == nil && r.Rest != nil {
		n, readErr := r.Rest.Read(buffer)
		if chunked {
			err = c.writeChunk(buffer[:n])
		} else if n > 0 {
			_, err = c.conn.Write(buffer[:n])
		}
		if errors.Is(readErr, io.EOF) {
			break
		}
		if err == nil {
			err = readErr
		}
	}
	if err == nil && chunked {
		_, err = io.WriteString(c.conn, "0\r\n\r\n")
	}
	if err != nil {
		c.stopWaiting(e)
		return
	}
	close(e.written)
}

func (c *connection) writeChunk(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_, err := c.conn.Write(append([]byte(strconv.FormatInt(int64(len(data)), 16)+"\r\n"), append(data, '\r', '\n')...))
	return err
}
