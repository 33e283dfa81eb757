package fleet_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"clementinelock/io/fleet"
)

const valid = `Host = "10.1.0.13"
Name = "front-a-1"
Region = "r"
Zone = "a"
PeerPort = 7620
Seeds = ["10.1.0.15:8649"]
StopMillis = 6000
[Regions]
a = "r"
`

// TestSettings checks that the error for a missing setting names it.
func TestSettings(t *testing.T) {
	cases := []struct{ name, text, expect string }{
		{"valid", valid, ""},
		{"no host", strings.Replace(valid, `"10.1.0.13"`, `"front"`, 1), "Host"},
		{"no zone", strings.Replace(valid, `Zone = "a"`, ``, 1), "Zone"},
		{"no port", strings.Replace(valid, `PeerPort = 7620`, ``, 1), "PeerPort"},
		{"no seeds", strings.Replace(valid, `Seeds = ["10.1.0.15:8649"]`, ``, 1), "Seeds"},
		{"no stop time", strings.Replace(valid, `StopMillis = 6000`, ``, 1), "StopMillis"},
		{"negative link", "LinkMbps = -1.0\n" + valid, "LinkMbps"},
		{"memory and descriptors", "MemoryMegabytes = 284\nMaxDescriptors = 4100\n" + valid, ""},
		{"memory of a fraction", "MemoryMegabytes = 184.5\n" + valid, ""},
		{"negative memory", "MemoryMegabytes = -1\n" + valid, "MemoryMegabytes"},
		{"memory in bytes", "MemoryMegabytes = 297795584000\n" + valid, "MemoryMegabytes"},
		{"memory that is no number", "MemoryMegabytes = nan\n" + valid, "MemoryMegabytes"},
		{"negative descriptors", "MaxDescriptors = -5\n" + valid, "MaxDescriptors"},
		{"too few descriptors", "MaxDescriptors = 8\n" + valid, "MaxDescriptors"},
		{"shift over 1", valid + "[Bounds]\nMaxShift = 15.0\n", "MaxShift"},
		{"no TOML", "Host: x", "settings"},
	}
	for _, c := range cases {
		path := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := fleet.ReadSettings(path)
		if c.expect == "" && err != nil || c.expect != "" && (err == nil || !strings.Contains(err.Error(), c.expect)) {
			t.Errorf("%s: error %v, expected one that names %q", c.name, err, c.expect)
		}
	}
}
