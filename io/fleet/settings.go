package fleet

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"clementinelock/core"
	"clementinelock/core/pick"

	"github.com/pelletier/go-toml/v2"
)

// Settings are those of one host. Addresses have a port; hosts are named by their address without one.
type Settings struct {
	Host   string
	Name   string
	Region string
	Zone   string
	// PeerPort is the same on all hosts.
	PeerPort int
	// PeerListen is where the host takes its peers' messages when that is not at its own address, such as behind a relay.
	PeerListen string
	Callers    string
	Readiness  string
	Operators  string
	Directory  string
	// MetricsPort serves metrics and the dump; 0 serves none.
	MetricsPort int
	// Seeds are addresses of control hosts; their ports do not matter.
	Seeds []string
	// Founding is true only when the whole deployment starts for the first time.
	Founding           bool
	DataFolder         string
	List               string
	ListCallsPerSecond float64
	// StopMillis is how long a planned stop may take, in milliseconds.
	StopMillis int64
	// LookupSeconds is how long callers may keep the answer of a look-up, in seconds.
	LookupSeconds float64
	Regions       map[string]string
	Bounds        pick.Bounds
}

// ReadSettings reads a settings file; it errs on a file that is not TOML and on settings that are missing.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := toml.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("settings %q: %w", path, err)
	}
	return s, s.validate(path)
}

func (s *Settings) validate(path string) error {
	missing := ""
	switch {
	case net.ParseIP(s.Host) == nil:
		missing = "Host (an IP address)"
	case s.Zone == "" || s.Region == "":
		missing = "Zone and Region"
	case s.PeerPort <= 0:
		missing = "PeerPort"
	case len(s.Seeds) == 0:
		missing = "Seeds"
	case s.StopMillis <= 0:
		missing = "StopMillis"
	}
	if missing != "" {
		return fmt.Errorf("settings %q lack %s", path, missing)
	}
	return nil
}

// peerAddress returns where a host takes its peers' messages.
func (s *Settings) peerAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.PeerPort))
}

// seedHosts names the seeds.
func (s *Settings) seedHosts() []string {
	var hosts []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		hosts = append(hosts, host)
	}
	return hosts
}

func (s *Settings) stopTimeout() core.Millis {
	return core.Millis(s.StopMillis)
}
