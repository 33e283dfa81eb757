package feed_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"clementinelock/io/feed"
	"clementinelock/io/stand"
)

// TestBrokenAnswers guards against a list that is taken from an answer whose head has a line that is no field.
func TestBrokenAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		whole bool
	}{
		"whole":                           {"HTTP/1.1 200 OK\r\n\r\n", true},
		"a blank before the colon":        {"HTTP/1.1 200 OK\r\nOther : v\r\n\r\n", false},
		"a blank in the name of a length": {"HTTP/1.1 200 OK\r\nContent-Length : 7\r\n\r\n", false},
		"a name that is a blank":          {"HTTP/1.1 200 OK\r\nOther: v\r\n : v\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			address, stop, err := stand.Serve(func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, c.head+`{"Links":[{"From":"a","To":"b","UsedBits":1}]}`)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			if list, err := feed.Read(context.Background(), "http://"+address+"/"); (err == nil) != c.whole {
				t.Errorf("%d links are read, %v", len(list.Links), err)
			}
		})
	}
}
