package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"clementinelock/core/tree"
	"clementinelock/io/config"
)

const goodSettings = `Host = "a-1"
Region = "a"
Zone = "a-a"
Roles = ["Entry"]
CallerAddress = "127.0.0.1:8080"
PeerAddress = "127.0.0.1:8443"
OperatorAddress = "127.0.0.1:8081"
StatusAddress = "127.0.0.1:8082"
[Keys]
Certificate = "a.crt"
Key = "a.key"
Authority = "ca.crt"
[[Peers]]
Name = "a-1"
Region = "a"
Zone = "a-a"
Address = "127.0.0.1:8443"
Roles = ["Entry"]
[[Peers]]
Name = "b-1"
Region = "b"
Zone = "b-a"
Address = "127.0.0.2:8443"
Roles = ["Control"]
`

func TestSettingsErrors(t *testing.T) {
	cases := []struct{ name, old, new, expect string }{
		{"valid", "", "", ""},
		{"unknown key", "Zone =", "Zonne =", `settings.toml:3: key "Zonne"`},
		{"bad address", `CallerAddress = "127.0.0.1:8080"`, `CallerAddress = "host:8080"`, `settings.toml:5: key "CallerAddress": "host:8080" is not an address; expected IP:PORT`},
		{"clashing addresses", `"127.0.0.1:8082"`, `"127.0.0.1:8081"`, `settings.toml:8: key "StatusAddress": 127.0.0.1:8081 is the same as OperatorAddress`},
		{"bad unit", "[Keys]", "FeedEvery = \"5\"\n[Keys]", "settings.toml:9"},
		{"unknown role", `Roles = ["Entry"]`, `Roles = ["Enty"]`, `settings.toml:4: key "Roles": role "Enty" does not exist`},
		{"control without disk", `Roles = ["Entry"]`, `Roles = ["Entry", "Control"]`, `key "DataFolder": is missing`},
		{"not among peers", `Host = "a-1"`, `Host = "a-2"`, `"a-2", is not among them`},
		{"no key file", `Key = "a.key"`, "", `key "Keys.Key": is missing`},
		{"no control host", `Roles = ["Control"]`, `Roles = ["Entry"]`, `no peer has the role Control`},
		{"syntax", `Region = "a"`, `Region = "a`, "settings.toml:2"},
		{"wrong type", `Host = "a-1"`, `Host = 4`, "settings.toml:1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(goodSettings, c.old, c.new, 1)
			_, err := config.ParseSettings("settings.toml", []byte(text))
			checkError(t, err, c.expect)
		})
	}
}

func checkError(t *testing.T, err error, expect string) {
	t.Helper()
	switch {
	case expect == "" && err != nil:
		t.Fatalf("unexpected error: %v", err)
	case expect != "" && (err == nil || !strings.Contains(err.Error(), expect)):
		t.Fatalf("error %q does not contain %q", err, expect)
	}
}

func TestTreeErrors(t *testing.T) {
	cases := []struct{ name, text, expect string }{
		{"valid", "[Root]\nSlots = 3\n[Regions.a.Zones.a-a.Services.s]\nEndpoints = [\"127.0.0.1:1\"]\n", ""},
		{"unknown setting", "[Root]\nSlotts = 3\n", `tree.toml:2: key "Root.Slotts"`},
		{"near name", "[Root]\nslots = 3\n", `did you mean "Slots"`},
		{"bad unit", "[Root]\nWarmUp = \"5\"\n", `tree.toml:2: key "Root.WarmUp"`},
		{"out of range", "[Root]\nHeadroom = 0.95\n", "expected a number from 0 to 0.9"},
		{"wrong level", "[Root]\nEndpoints = [\"127.0.0.1:1\"]\n", "it may stand only at a service in an availability zone"},
		{"no such table", "[Root.Zones.x]\nSlots = 3\n", "no such table"},
		{"endpoint twice", "[Regions.a.Zones.x.Services.s]\nEndpoints = [\"127.0.0.1:1\"]\n[Regions.a.Zones.y.Services.s]\nEndpoints = [\"127.0.0.1:1\"]\n", "belongs to both"},
		{"zone twice", "[Regions.a.Zones.x]\nSlots = 3\n[Regions.b.Zones.x]\nSlots = 3\n", "stands in both region"},
		{"clashing deadlines", "[Root]\nMaxDeadline = \"1s\"\nDefaultDeadline = \"2s\"\n[Regions.a.Zones.x.Services.s]\nEndpoints = [\"127.0.0.1:1\"]\n", "is longer than MaxDeadline"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := config.ParseTree("tree.toml", []byte(c.text))
			checkError(t, err, c.expect)
		})
	}
}

// TestExamplesRoundTrip checks that a written tree is parsed as the same tree.
func TestExamplesRoundTrip(t *testing.T) {
	for _, user := range []string{"instituto", "yildirim"} {
		first, err := config.ReadTree(filepath.Join("..", "..", "examples", user, "tree.toml"))
		if err != nil {
			t.Fatal(err)
		}
		second, err := config.ParseTree("written", config.WriteTree(first))
		if err != nil {
			t.Fatal(err)
		}
		if differences := tree.Compare(first, second); len(differences) > 0 {
			t.Fatalf("%s: %v", user, differences)
		}
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = config.ParseSettings("fuzz", data)
	})
}

func FuzzTree(f *testing.F) {
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", "instituto", "tree.toml"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := config.ParseTree("fuzz", data)
		if err != nil {
			return
		}
		if _, err := config.ParseTree("written", config.WriteTree(read)); err != nil {
			t.Fatalf("a valid tree is invalid after it was written: %v", err)
		}
	})
}
