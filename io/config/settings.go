package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"clementinelock/core"

	"github.com/pelletier/go-toml/v2"
)

// The roles of a host.
const (
	EntryRole   = "Entry"
	ControlRole = "Control"
)

// Keys holds the paths of a host's certificate, private key and certificate authority.
type Keys struct {
	Certificate string
	Key         string
	Authority   string
}

// Peer is a host that is known before there is a tree.
type Peer struct {
	Name    string
	Region  string
	Zone    string
	Address string
	Roles   []string
}

// Settings holds what a daemon reads when it starts.
type Settings struct {
	Host   string
	Region string
	Zone   string
	Roles  []string
	// CallerAddress is for callers' look-ups and requests, PeerAddress for other hosts, OperatorAddress for operators,
	// and StatusAddress for metrics, health and dumps.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	StatusAddress   string
	// DataFolder is required for the control role.
	DataFolder string
	// Feed is the file path or http:// URL of the platform's list of endpoints.
	Feed      string
	FeedEvery core.Millis
	// StopWithin is the timeout of a planned stop.
	StopWithin core.Millis
	LogLevel   string
	// CallerTLS serves callers over TLS with the host's certificate.
	CallerTLS bool
	Keys      Keys
	Peers     []Peer
}

func defaults() Settings {
	return Settings{FeedEvery: core.Second, StopWithin: core.Minute, LogLevel: "info"}
}

// ReadSettings reads and checks a settings file; relative paths in it start at the file's folder.
func ReadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	s, err := ParseSettings(file, data)
	if err != nil {
		return Settings{}, err
	}
	folder := filepath.Dir(file)
	for _, path := range []*string{&s.DataFolder, &s.Keys.Certificate, &s.Keys.Key, &s.Keys.Authority} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
	return s, nil
}

// ParseSettings parses and checks settings; file is the name of the text in errors.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := defaults()
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, positionError(file, err)
	}
	return s, s.check(IndexLines(file, data))
}

func (s *Settings) check(lines *LineIndex) error {
	names := []struct{ key, value string }{{"Host", s.Host}, {"Region", s.Region}, {"Zone", s.Zone}}
	for _, name := range names {
		if name.value == "" {
			return lines.Errorf(name.key, "is missing; expected a name")
		}
	}
	if err := s.checkAddresses(lines); err != nil {
		return err
	}
	if err := checkRoles(lines, "Roles", s.Roles); err != nil {
		return err
	}
	if s.IsControl() && s.DataFolder == "" {
		return lines.Errorf("DataFolder", "is missing; the role Control needs a folder on a disk")
	}
	if !slices.Contains([]string{"debug", "info", "warning", "error"}, s.LogLevel) {
		return lines.Errorf("LogLevel", "%q is not a level; expected debug, info, warning or error", s.LogLevel)
	}
	if s.FeedEvery < 10 || s.StopWithin < 0 {
		return lines.Errorf("FeedEvery", "must be at least 10ms, and StopWithin must not be negative")
	}
	for _, file := range []struct{ key, value string }{{"Certificate", s.Keys.Certificate}, {"Key", s.Keys.Key}, {"Authority", s.Keys.Authority}} {
		if file.value == "" {
			return lines.Errorf("Keys."+file.key, "is missing; expected the path of a file")
		}
	}
	return s.checkPeers(lines)
}

func (s *Settings) checkAddresses(lines *LineIndex) error {
	used := map[string]string{}
	addresses := []struct{ key, value string }{
		{"CallerAddress", s.CallerAddress},
		{"PeerAddress", s.PeerAddress},
		{"OperatorAddress", s.OperatorAddress},
		{"StatusAddress", s.StatusAddress},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return lines.Errorf(a.key, "%q is not an address; expected IP:PORT", a.value)
		}
		if other, taken := used[a.value]; taken && a.key != "PeerAddress" {
			return lines.Errorf(a.key, "%s is the same as %s", a.value, other)
		}
		used[a.value] = a.key
	}
	return nil
}

func checkRoles(lines *LineIndex, key string, roles []string) error {
	if len(roles) == 0 {
		return lines.Errorf(key, "is missing; expected a list of %q and %q", EntryRole, ControlRole)
	}
	for _, role := range roles {
		if role != EntryRole && role != ControlRole {
			return lines.Errorf(key, "role %q does not exist; expected %q or %q", role, EntryRole, ControlRole)
		}
	}
	return nil
}

func (s *Settings) checkPeers(lines *LineIndex) error {
	seen := map[string]bool{}
	controlHosts := 0
	for i, peer := range s.Peers {
		key := fmt.Sprintf("Peers[%d]", i)
		if peer.Name == "" || peer.Zone == "" || peer.Region == "" {
			return lines.Errorf(key+".Name", "a peer needs Name, Region and Zone")
		}
		if seen[peer.Name] {
			return lines.Errorf(key+".Name", "peer %q is listed twice", peer.Name)
		}
		seen[peer.Name] = true
		if _, err := netip.ParseAddrPort(peer.Address); err != nil {
			return lines.Errorf(key+".Address", "%q is not an address; expected IP:PORT", peer.Address)
		}
		if err := checkRoles(lines, key+".Roles", peer.Roles); err != nil {
			return err
		}
		if slices.Contains(peer.Roles, ControlRole) {
			controlHosts++
		}
		if peer.Name == s.Host && slices.Contains(peer.Roles, ControlRole) != s.IsControl() {
			return lines.Errorf(key+".Roles", "differ from this host's own Roles")
		}
	}
	if !seen[s.Host] {
		return lines.Errorf("Peers", "this host, %q, is not among them", s.Host)
	}
	if controlHosts == 0 {
		return lines.Errorf("Peers", "no peer has the role Control")
	}
	return nil
}

// IsControl reports whether the host has the control role.
func (s *Settings) IsControl() bool {
	return slices.Contains(s.Roles, ControlRole)
}

// ControlHosts returns the names of the hosts with the control role.
func (s *Settings) ControlHosts() []string {
	var names []string
	for _, peer := range s.Peers {
		if slices.Contains(peer.Roles, ControlRole) {
			names = append(names, peer.Name)
		}
	}
	return names
}

// Seeds returns the names of the peers by availability zone.
func (s *Settings) Seeds() map[string][]string {
	seeds := map[string][]string{}
	for _, peer := range s.Peers {
		seeds[peer.Zone] = append(seeds[peer.Zone], peer.Name)
	}
	return seeds
}

// Addresses returns the peers' addresses by name.
func (s *Settings) Addresses() map[string]string {
	addresses := map[string]string{}
	for _, peer := range s.Peers {
		addresses[peer.Name] = peer.Address
	}
	return addresses
}
