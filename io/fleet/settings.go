package fleet

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"clementinelock/core"
	"clementinelock/core/pick"
	"clementinelock/core/quota"

	"github.com/pelletier/go-toml/v2"
)

// Settings holds the settings of one host. Addresses include a port; hosts are named by their address without it.
type Settings struct {
	Host   string
	Name   string
	Region string
	Zone   string
	// PeerPort is the same on all hosts.
	PeerPort int
	// PeerListen is the address for messages of other hosts if it is not the host's own, such as behind a relay.
	PeerListen string
	Callers    string
	Readiness  string
	Operators  string
	Directory  string
	// MetricsPort is the port of the metrics and the dump; 0 serves neither.
	MetricsPort int
	// Seeds lists addresses of control hosts; their ports are ignored.
	Seeds []string
	// Founding is true only at the first start of the whole deployment.
	Founding           bool
	DataFolder         string
	List               string
	ListCallsPerSecond float64
	// StopMillis is the longest time that a planned stop may take, in milliseconds.
	StopMillis int64
	// LookupSeconds is the time for which callers may cache the response to a look-up, in seconds.
	LookupSeconds float64
	// Cores is the part of a processor core that the host may use, LinkMbps the bandwidth of its link in megabits per
	// second; 0 means that it is not known.
	Cores    float64
	LinkMbps float64
	// MemoryMegabytes is the memory of the machine, in units of 2^20 bytes, and MaxDescriptors the number of descriptors that the
	// process may have. 0 means that it is not known: the memory then counts as 256, and the process's own limit of descriptors
	// applies.
	MemoryMegabytes float64
	MaxDescriptors  int
	Regions         map[string]string
	Bounds          pick.Bounds
	// QuotaBounds is how far requests may exceed customers' quotas.
	QuotaBounds QuotaSettings
	// MaxKeyAgeMillis is how long customers' keys hold at a host without contact to a control host, in milliseconds; 0 sets no
	// limit.
	MaxKeyAgeMillis int64
}

// QuotaSettings bounds the requests of a customer in any WindowSeconds seconds: they may exceed the quota by the share
// Overrun and by Slack requests.
type QuotaSettings struct {
	WindowSeconds float64
	Overrun       float64
	Slack         float64
}

func (q QuotaSettings) bounds() quota.Bounds {
	return quota.Bounds{Window: core.MillisOf(q.WindowSeconds * float64(core.Second)), Overrun: q.Overrun, Slack: q.Slack}
}

// ReadSettings reads a settings file; it returns an error if the file is not TOML or a required setting is missing.
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
	case s.Cores < 0 || s.LinkMbps < 0:
		missing = "Cores and LinkMbps (not negative)"
	case s.MemoryMegabytes != 0 && !(s.MemoryMegabytes >= minMemoryMegabytes && s.MemoryMegabytes <= maxMemoryMegabytes):
		missing = fmt.Sprintf("MemoryMegabytes (%d to %d, or 0)", minMemoryMegabytes, maxMemoryMegabytes)
	case s.MaxDescriptors != 0 && s.MaxDescriptors < minDescriptors:
		missing = fmt.Sprintf("MaxDescriptors (%d or more, or 0)", minDescriptors)
	case s.Bounds.MaxShift < 0 || s.Bounds.MaxShift > 1:
		missing = "MaxShift (a share from 0 to 1)"
	case s.QuotaBounds.WindowSeconds < 0 || s.QuotaBounds.Overrun < 0 || s.QuotaBounds.Slack < 0:
		missing = "QuotaBounds (not negative)"
	case s.MaxKeyAgeMillis < 0:
		missing = "MaxKeyAgeMillis (not negative)"
	}
	if missing != "" {
		return fmt.Errorf("settings %q: missing or invalid %s", path, missing)
	}
	return nil
}

// peerAddress returns the address at which a host receives messages of other hosts.
func (s *Settings) peerAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.PeerPort))
}

// seedHosts returns the names of the seeds, which are their addresses without the port.
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

// Traffic per second that an entry host should have at most: a fraction of what it can serve, so that it bears a burst
// until look-ups name more hosts.
const (
	requestsPerCore = 400
	bytesPerMbps    = 30_000
)

func (s *Settings) stopTimeout() core.Millis {
	return core.Millis(s.StopMillis)
}
