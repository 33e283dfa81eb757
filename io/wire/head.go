package wire

import (
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// headPart is the part of a head that the next byte belongs to.
type headPart int

const (
	// noHead means that the bytes belong to no head.
	noHead headPart = iota
	version
	blanksBeforeCode
	statusCode
	reasonPhrase
	lineBegin
	fieldName
	fieldValue
	// lineEnd and headEnd follow a CR.
	lineEnd
	headEnd
)

// headScanner checks the bytes of an answer's heads as they arrive, those of interim answers too. net/http, which parses them, lets blanks
// in names pass, joins lines that begin with a blank to the one before, takes other texts than three digits from 100 on for a status code, and
// does not look at the reason phrase.
type headScanner struct {
	part headPart
	// code is the status code so far.
	code []byte
	err  error
}

// begin expects the heads of the next answer.
func (s *headScanner) begin() {
	s.part, s.code = version, s.code[:0]
}

// scan checks the next bytes. It returns how many of them come before the first one that may not stand there; all later bytes are refused
// too.
func (s *headScanner) scan(p []byte) (n int, err error) {
	for i, b := range p {
		if s.err == nil && s.part == noHead {
			break
		}
		if s.err == nil {
			s.err = s.next(b)
		}
		if s.err != nil {
			return i, s.err
		}
	}
	return len(p), nil
}

// next checks one byte.
func (s *headScanner) next(b byte) error {
	switch s.part {
	case version:
		switch b {
		case ' ':
			s.part = blanksBeforeCode
		case '\n':
			return errors.New("answer without a status code")
		}
		return nil
	case blanksBeforeCode:
		if b == ' ' {
			return nil
		}
		s.part = statusCode
		return s.next(b)
	case statusCode:
		return s.nextOfCode(b)
	case reasonPhrase, fieldValue:
		return s.nextOfText(b)
	case lineBegin:
		return s.nextOfLine(b)
	case fieldName:
		return s.nextOfName(b)
	}
	if b != '\n' {
		return fmt.Errorf("head of an answer has byte %#02x after a CR", b)
	}
	s.endLine()
	return nil
}

// maxCodeBytes is one byte more than a status code has.
const maxCodeBytes = 4

func (s *headScanner) nextOfCode(b byte) error {
	if b == ' ' || b == '\r' || b == '\n' {
		if !isStatusCode(s.code) {
			return fmt.Errorf("answer with status code %q", s.code)
		}
		s.part = reasonPhrase
		return s.nextOfText(b)
	}
	if len(s.code) < maxCodeBytes {
		s.code = append(s.code, b)
	}
	return nil
}

// deleteByte is the one control byte beyond the printable ones.
const deleteByte = 0x7f

func (s *headScanner) nextOfText(b byte) error {
	switch {
	case b == '\r':
		s.part = lineEnd
	case b == '\n':
		s.endLine()
	case b < ' ' && b != '\t' || b == deleteByte:
		return fmt.Errorf("head of an answer has the control byte %#02x", b)
	}
	return nil
}

func (s *headScanner) nextOfLine(b byte) error {
	switch b {
	case '\r':
		s.part = headEnd
		return nil
	case '\n':
		s.endHead()
		return nil
	case ' ', '\t':
		return errors.New("head of an answer has a line that begins with a blank")
	case ':':
		return errors.New("head of an answer has a field without a name")
	}
	s.part = fieldName
	return s.nextOfName(b)
}

func (s *headScanner) nextOfName(b byte) error {
	if b == ':' {
		s.part = fieldValue
		return nil
	}
	if !httpguts.IsTokenRune(rune(b)) {
		return fmt.Errorf("name of a field of an answer has byte %#02x", b)
	}
	return nil
}

// endLine ends a line, and the head if that was empty.
func (s *headScanner) endLine() {
	if s.part == headEnd {
		s.endHead()
		return
	}
	s.part = lineBegin
}

// endHead ends a head, which another one follows if it was that of an interim answer.
func (s *headScanner) endHead() {
	s.part = noHead
	if isInterim(s.code) {
		s.begin()
	}
}

// isStatusCode reports whether an answer may have the status code: three digits from 100 on. No request asks for another protocol, so that
// none is answered with 101.
func isStatusCode(code []byte) bool {
	if len(code) != maxCodeBytes-1 || code[0] == '0' || string(code) == "101" {
		return false
	}
	for _, b := range code {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}

// isInterim reports whether further answers to the same request follow one with the status code.
func isInterim(code []byte) bool {
	return code[0] == '1'
}
