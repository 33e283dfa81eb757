package feed_test

import (
	"testing"

	"clementinelock/io/feed"
)

func TestParse(t *testing.T) {
	cases := []struct {
		name, text string
		notices    int
		valid      bool
	}{
		{"empty", `{}`, 0, true},
		{"leaving", `{"Endpoints":[{"Endpoint":"127.0.0.1:1","State":"Leaving","Since":5}]}`, 1, true},
		{"no time", `{"Endpoints":[{"Endpoint":"127.0.0.1:1","State":"Leaving"}]}`, 0, false},
		{"bad state", `{"Endpoints":[{"Endpoint":"127.0.0.1:1","State":"Gone","Since":5}]}`, 0, false},
		{"bad address", `{"Endpoints":[{"Endpoint":"here","State":"Live","Since":5}]}`, 0, false},
		{"negative link", `{"Links":[{"From":"a","To":"b","UsedBits":-1}]}`, 0, false},
		{"cut short", `{"Endpoints":[`, 0, false},
	}
	for _, c := range cases {
		list, err := feed.Parse([]byte(c.text))
		if (err == nil) != c.valid || len(list.Notices) != c.notices {
			t.Errorf("%s: %d notices, error %v", c.name, len(list.Notices), err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Endpoints":[{"Endpoint":"127.0.0.1:1","State":"Leaving","Since":5}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = feed.Parse(data) })
}
