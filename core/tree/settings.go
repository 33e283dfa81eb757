package tree

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"clementinelock/core"
)

// Class is the priority of a service's waiting requests.
type Class int

// The classes of service, the most urgent first.
const (
	High Class = iota
	Normal
	Low
)

var classNames = []string{"High", "Normal", "Low"}

// String returns the class as it is written in settings.
func (c Class) String() string {
	return classNames[c]
}

// Service holds all settings in force for one service in one availability zone.
type Service struct {
	Class             Class
	Endpoints         []string
	Leaving           []string
	Slots             int
	ConnectionLimit   int
	WarmUp            core.Millis
	QueueLimit        int
	QueueWait         core.Millis
	DefaultDeadline   core.Millis
	MaxDeadline       core.Millis
	RetryBudget       float64
	HedgeBudget       float64
	HedgeDelay        core.Millis
	KeyRetention      core.Millis
	LedgerBytes       int64
	StoredAnswerBytes int64
	LookupTimeToLive  core.Millis
	Weight            float64
	Drained           bool
	ShiftCap          float64
	EmergencyPasses   bool
	Headroom          float64
	RegionCapacity    float64
	LinkCapacity      int64
	ExpectedEvent     Event
	Hosts             []Host
	ZoneLatency       core.Millis
	RegionLatency     core.Millis
	ClientLatency     core.Millis
	Clients           []netip.Prefix
}

// Host is an entry host as listed in the tree, with its addresses for callers and for other hosts.
type Host struct {
	Name, CallerAddress, PeerAddress string
}

// Event is an expected rise of demand that the planner prepares for.
type Event struct {
	Start  core.Millis
	Length core.Millis
	Factor float64
}

// Level limits the nodes of the tree at which a setting may stand.
type Level int

// The levels that a setting may be limited to.
const (
	AnyLevel Level = iota
	RegionLevel
	ZoneLevel
	EndpointLevel
)

var levelNames = []string{"any node", "the root or a region", "an availability zone", "a service in an availability zone"}

// Setting is one row of the table of settings.
type Setting struct {
	Name    string
	Default string
	Level   Level
	Expects string
	Meaning string
	set     func(*Service, string) error
}

// Settings is the table of all settings that a node of the tree may hold.
var Settings = []Setting{
	{"Class", "Normal", AnyLevel, "High, Normal or Low", "Order in which waiting requests are served.", setClass},
	{"Endpoints", "", EndpointLevel, "a list of ip:port", "Upstream endpoints of the service in this availability zone.", endpoints(func(s *Service) *[]string { return &s.Endpoints })},
	{"Leaving", "", EndpointLevel, "a list of ip:port", "Endpoints that are drained: they get no new work.", endpoints(func(s *Service) *[]string { return &s.Leaving })},
	{"Slots", "3", AnyLevel, "a whole number from 1 to 10000", "Requests that one endpoint runs at once, over all entry hosts.", integer(1, 10000, func(s *Service) *int { return &s.Slots })},
	{"ConnectionLimit", "330", AnyLevel, "a whole number from 1 to 100000", "Open connections to one endpoint, over all entry hosts.", integer(1, 100000, func(s *Service) *int { return &s.ConnectionLimit })},
	{"WarmUp", "30s", AnyLevel, "a time from 0s to 1h", "Time over which a cold endpoint is ramped up.", duration(0, core.Hour, func(s *Service) *core.Millis { return &s.WarmUp })},
	{"QueueLimit", "200", AnyLevel, "a whole number from 0 to 100000", "Requests of one service that may wait at one keeper.", integer(0, 100000, func(s *Service) *int { return &s.QueueLimit })},
	{"QueueWait", "200ms", AnyLevel, "a time from 0s to 1m", "Longest expected wait for a slot; a request that would wait longer is refused at once.", duration(0, core.Minute, func(s *Service) *core.Millis { return &s.QueueWait })},
	{"DefaultDeadline", "2s", AnyLevel, "a time from 10ms to 10m", "Deadline of a request that names none.", duration(10, 10*core.Minute, func(s *Service) *core.Millis { return &s.DefaultDeadline })},
	{"MaxDeadline", "10s", AnyLevel, "a time from 10ms to 10m", "Longest deadline that is granted.", duration(10, 10*core.Minute, func(s *Service) *core.Millis { return &s.MaxDeadline })},
	{"RetryBudget", "0.1", AnyLevel, "a share from 0 to 1", "Retries per first attempt, over a sliding window.", share(func(s *Service) *float64 { return &s.RetryBudget })},
	{"HedgeBudget", "0", AnyLevel, "a share from 0 to 0.05", "Hedged attempts per first attempt.", number(0, 0.05, func(s *Service) *float64 { return &s.HedgeBudget })},
	{"HedgeDelay", "50ms", AnyLevel, "a time from 1ms to 10s", "Wait before an idempotent request is hedged.", duration(1, 10*core.Second, func(s *Service) *core.Millis { return &s.HedgeDelay })},
	{"KeyRetention", "1h", AnyLevel, "a time from 1m to 168h", "How long the ledger keeps an idempotency key.", duration(core.Minute, 168*core.Hour, func(s *Service) *core.Millis { return &s.KeyRetention })},
	{"LedgerBytes", "33554432", RegionLevel, "a whole number of bytes", "Memory of the ledger at one host.", integer(1<<10, 1<<40, func(s *Service) *int64 { return &s.LedgerBytes })},
	{"StoredAnswerBytes", "16384", AnyLevel, "a whole number of bytes", "Largest answer that the ledger keeps whole.", integer(0, 1<<24, func(s *Service) *int64 { return &s.StoredAnswerBytes })},
	{"LookupTimeToLive", "5s", AnyLevel, "a time from 100ms to 10m", "How long a caller may keep a look-up's answer.", duration(100, 10*core.Minute, func(s *Service) *core.Millis { return &s.LookupTimeToLive })},
	{"Weight", "1", AnyLevel, "a number from 0 to 100", "Wanted share of traffic, relative to the node's siblings.", number(0, 100, func(s *Service) *float64 { return &s.Weight })},
	{"Drained", "false", AnyLevel, "true or false", "Whether the node is drained: it gets no new work.", boolean(func(s *Service) *bool { return &s.Drained })},
	{"ShiftCap", "0.1", AnyLevel, "a share from 0.001 to 1", "Share of a service's traffic that may move per minute.", number(0.001, 1, func(s *Service) *float64 { return &s.ShiftCap })},
	{"EmergencyPasses", "false", AnyLevel, "true or false", "Whether the loss of a zone or region may pass the shift cap; it never passes a capacity.", boolean(func(s *Service) *bool { return &s.EmergencyPasses })},
	{"Headroom", "0.1", AnyLevel, "a number from 0 to 0.9", "Share of a region's capacity that the planner leaves free.", number(0, 0.9, func(s *Service) *float64 { return &s.Headroom })},
	{"RegionCapacity", "1000", RegionLevel, "requests per second from 1 to 1e9", "Requests that a region's upstreams take per second, over all services.", number(1, 1e9, func(s *Service) *float64 { return &s.RegionCapacity })},
	{"LinkCapacity", "1Gbit/s", RegionLevel, "a rate such as 280Mbit/s", "Capacity between this region and any other, each way, in bits per second.", bitRate(func(s *Service) *int64 { return &s.LinkCapacity })},
	{"ExpectedEvent", "", RegionLevel, "START LENGTH FACTOR, such as 2027-02-17T18:00:00Z 6h 3", "Expected rise of demand.", setEvent},
	{"Hosts", "", ZoneLevel, "a list of NAME CALLER-IP:PORT PEER-IP:PORT", "Entry hosts of the availability zone.", setHosts},
	{"ZoneLatency", "1ms", RegionLevel, "a time from 0s to 1s", "One way between availability zones of a region, rounded up.", duration(0, core.Second, func(s *Service) *core.Millis { return &s.ZoneLatency })},
	{"RegionLatency", "20ms", RegionLevel, "a time from 0s to 10s", "One way between regions.", duration(0, 10*core.Second, func(s *Service) *core.Millis { return &s.RegionLatency })},
	{"ClientLatency", "1ms", RegionLevel, "a time from 0s to 10s", "One way between a region's callers and its entry hosts.", duration(0, 10*core.Second, func(s *Service) *core.Millis { return &s.ClientLatency })},
	{"Clients", "", RegionLevel, "a list of IP prefixes", "Blocks of clients that are nearest to this region.", setClients},
}

var settingByName = indexSettings()

func indexSettings() map[string]*Setting {
	byName := make(map[string]*Setting, len(Settings))
	for i := range Settings {
		byName[Settings[i].Name] = &Settings[i]
	}
	return byName
}

// FindSetting returns the setting of that name. If there is none, the error names a setting that differs only in case,
// if any.
func FindSetting(name string) (*Setting, error) {
	row, ok := settingByName[name]
	if ok {
		return row, nil
	}
	for _, s := range Settings {
		if strings.EqualFold(s.Name, name) {
			return nil, fmt.Errorf("setting %q does not exist; did you mean %q", name, s.Name)
		}
	}
	return nil, fmt.Errorf("setting %q does not exist", name)
}

// Check returns an error if the text is not of the setting's type, if the value is out of its bounds, or if the setting
// may not stand at the path.
func (row *Setting) Check(path Path, text string) error {
	parts, err := ParsePath(path)
	if err != nil {
		return err
	}
	if !row.allowedAt(parts) {
		return fmt.Errorf("setting %q at %q: it may stand only at %s", row.Name, path, levelNames[row.Level])
	}
	var scratch Service
	if err := row.set(&scratch, text); err != nil {
		return fmt.Errorf("setting %q at %q: %w; expected %s", row.Name, path, err, row.Expects)
	}
	return nil
}

func (row *Setting) allowedAt(p Parts) bool {
	switch row.Level {
	case RegionLevel:
		return p.Zone == "" && p.Service == ""
	case ZoneLevel:
		return p.Zone != "" && p.Service == ""
	case EndpointLevel:
		return p.Zone != "" && p.Service != ""
	default:
		return true
	}
}

func setClass(s *Service, text string) error {
	i := slices.Index(classNames, text)
	if i < 0 {
		return fmt.Errorf("%q is not a class", text)
	}
	s.Class = Class(i)
	return nil
}

// SplitList splits a comma-separated list; empty text gives an empty list.
func SplitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		item = strings.TrimSpace(item)
		if item != "" {
			items = append(items, item)
		}
	}
	return items
}

func endpoints(field func(*Service) *[]string) func(*Service, string) error {
	return func(s *Service, text string) error {
		items := SplitList(text)
		for _, item := range items {
			if _, err := netip.ParseAddrPort(item); err != nil {
				return fmt.Errorf("%q is not an ip:port", item)
			}
		}
		*field(s) = items
		return nil
	}
}

func integer[T int | int64](low, high T, field func(*Service) *T) func(*Service, string) error {
	return func(s *Service, text string) error {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || T(n) < low || T(n) > high {
			return fmt.Errorf("%q is not a whole number from %d to %d", text, low, high)
		}
		*field(s) = T(n)
		return nil
	}
}

func share(field func(*Service) *float64) func(*Service, string) error {
	return number(0, 1, field)
}

func number(low, high float64, field func(*Service) *float64) func(*Service, string) error {
	return func(s *Service, text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || !(n >= low && n <= high) {
			return fmt.Errorf("%q is not a number from %g to %g", text, low, high)
		}
		*field(s) = n
		return nil
	}
}

func duration(low, high core.Millis, field func(*Service) *core.Millis) func(*Service, string) error {
	return func(s *Service, text string) error {
		var m core.Millis
		if err := m.UnmarshalText([]byte(text)); err != nil {
			return err
		}
		if m < low || m > high {
			return fmt.Errorf("%q is not from %s to %s", text, low, high)
		}
		*field(s) = m
		return nil
	}
}

func boolean(field func(*Service) *bool) func(*Service, string) error {
	return func(s *Service, text string) error {
		if text != "true" && text != "false" {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		*field(s) = text == "true"
		return nil
	}
}

var rateUnits = []struct {
	suffix string
	bits   float64
}{{"Gbit/s", 1e9}, {"Mbit/s", 1e6}, {"kbit/s", 1e3}}

func bitRate(field func(*Service) *int64) func(*Service, string) error {
	return func(s *Service, text string) error {
		for _, unit := range rateUnits {
			digits, found := strings.CutSuffix(text, unit.suffix)
			if !found {
				continue
			}
			n, err := strconv.ParseFloat(digits, 64)
			if err != nil || !(n > 0 && n <= 1e6) {
				return fmt.Errorf("%q is not a positive number of %s", text, unit.suffix)
			}
			*field(s) = int64(n * unit.bits)
			return nil
		}
		return fmt.Errorf("%q has none of the units Gbit/s, Mbit/s and kbit/s", text)
	}
}

func setEvent(s *Service, text string) error {
	if text == "" {
		s.ExpectedEvent = Event{}
		return nil
	}
	words := strings.Fields(text)
	if len(words) != 3 {
		return fmt.Errorf("%q has %d words", text, len(words))
	}
	start, err := parseInstant(words[0])
	if err != nil {
		return err
	}
	event := Event{Start: start}
	if err := event.Length.UnmarshalText([]byte(words[1])); err != nil {
		return err
	}
	event.Factor, err = strconv.ParseFloat(words[2], 64)
	if err != nil || !(event.Factor >= 1 && event.Factor <= 100) {
		return fmt.Errorf("factor %q is not a number from 1 to 100", words[2])
	}
	s.ExpectedEvent = event
	return nil
}

func setHosts(s *Service, text string) error {
	s.Hosts = nil
	for _, item := range SplitList(text) {
		words := strings.Fields(item)
		if len(words) != 3 || !validName(words[0]) {
			return fmt.Errorf("%q is not a host", item)
		}
		for _, address := range words[1:] {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return fmt.Errorf("%q is not an ip:port", address)
			}
		}
		s.Hosts = append(s.Hosts, Host{words[0], words[1], words[2]})
	}
	return nil
}

// maxClientBits is the longest prefix of an IPv6 block of clients.
const maxClientBits = 64

func setClients(s *Service, text string) error {
	s.Clients = nil
	for _, item := range SplitList(text) {
		prefix, err := netip.ParsePrefix(item)
		if err != nil {
			return fmt.Errorf("%q is not an IP prefix", item)
		}
		if !prefix.Addr().Is4() && prefix.Bits() > maxClientBits {
			return fmt.Errorf("%q is longer than %d bits", item, maxClientBits)
		}
		s.Clients = append(s.Clients, prefix.Masked())
	}
	return nil
}

// Place describes the nodes at which the setting may stand.
func (row *Setting) Place() string {
	return levelNames[row.Level]
}
