package proto_test

import (
	"net/http"
	"testing"

	"clementinelock/io/proto"
)

// TestParseLimit covers limits that upstreams name, and texts that name none.
func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		texts   []string
		limit   float64
		named   bool
		invalid bool
	}{
		{nil, 0, false, false},
		{[]string{"2"}, 2, true, false},
		{[]string{" 1.1 "}, 1.1, true, false},
		{[]string{"0"}, 0, true, false},
		{[]string{""}, 0, false, true},
		{[]string{"-1"}, 0, false, true},
		{[]string{"few"}, 0, false, true},
		{[]string{"NaN"}, 0, false, true},
		{[]string{"Inf"}, 0, false, true},
		{[]string{"1e400"}, 0, false, true},
	} {
		header := http.Header{}
		for _, text := range c.texts {
			header.Add("Limit", text)
		}
		limit, named, err := proto.Dialect{Limit: "Limit"}.ParseLimit(header)
		if limit != c.limit || named != c.named || (err != nil) != c.invalid {
			t.Errorf("%q is read as %v, %t with the error %v", c.texts, limit, named, err)
		}
		if _, named, err := (proto.Dialect{}).ParseLimit(header); named || err != nil {
			t.Errorf("%q is read without the header's name: %t, %v", c.texts, named, err)
		}
	}
}
