package entry

import (
	"net/http"
	"strconv"
	"time"

	"clementinelock/core"
	"clementinelock/core/pick"
	"clementinelock/io/proto"
)

// RecordHeader applies what the header of an endpoint's answer says about the endpoint.
func (s *Server) RecordHeader(endpoint string, status int, header http.Header, sentAt time.Time) {
	s.recordAnswer()
	if status == http.StatusMisdirectedRequest {
		// Another endpoint answered.
		return
	}
	s.recordNotice(endpoint, status, header, sentAt)
}

// recordNotice applies what an answer says about its endpoint.
func (s *Server) recordNotice(endpoint string, status int, header http.Header, sentAt time.Time) {
	notice := s.noticeOf(status, header)
	if notice == (pick.Notice{}) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Now()
	notice.SentAt = now - core.Millis(time.Since(sentAt).Milliseconds())
	if s.Picks.RecordNotice(now, endpoint, notice) {
		s.crashes.ended = append(s.crashes.ended, timedEnd{endpoint, notice.SentAt, notice.ColdFor + now - notice.SentAt})
	}
}

// noticeOf reads what an answer says about its endpoint.
func (s *Server) noticeOf(status int, header http.Header) pick.Notice {
	notice := pick.Notice{Leaving: s.Dialect.IsLeaving(header), ColdFor: s.Dialect.ParseCold(header)}
	limit, named, err := s.Dialect.ParseLimit(header)
	if err != nil {
		notice.InvalidLimit = strconv.Quote(header.Get(s.Dialect.Limit))
	}
	notice.Limit, notice.LimitNamed = limit, named
	texts := header.Values("Retry-After")
	if status != http.StatusServiceUnavailable || len(texts) == 0 {
		return notice
	}
	retryAfter, err := proto.ParseRetryAfter(texts[0])
	if err != nil {
		notice.InvalidRetryAfter = strconv.Quote(texts[0])
	}
	notice.RetryAfter = retryAfter
	return notice
}
