package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"clementinelock/core"
	"clementinelock/core/host"
	"clementinelock/core/member"
	"clementinelock/core/plan"
	"clementinelock/io/wire"
)

const (
	maxListBytes = 16 << 20
	fetchTimeout = 2 * time.Second
	// The states of an endpoint.
	live    = "Live"
	leaving = "Leaving"
)

// List is the platform's list as decoded from JSON.
type List struct {
	Endpoints []Endpoint
	Links     []Link
}

// Endpoint is the state of one endpoint as the platform reports it.
type Endpoint struct {
	// Endpoint is the endpoint's address as IP:PORT.
	Endpoint string
	State    string
	// Since is when the endpoint entered its state, in milliseconds since the Unix epoch.
	Since int64
}

// Link is the bandwidth, in bits per second, that others use on the link between two regions.
type Link struct {
	From, To string
	UsedBits float64
}

// Read reads and checks the list from a file path or an http:// URL.
func Read(ctx context.Context, source string) (host.Feed, error) {
	data, err := load(ctx, source)
	if err != nil {
		return host.Feed{}, err
	}
	return Parse(data)
}

// client has the settings of http.DefaultClient.
var client = &http.Client{Transport: wire.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

func load(ctx context.Context, source string) ([]byte, error) {
	if !strings.HasPrefix(source, "http://") {
		return os.ReadFile(source)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list %s: status %d, expected %d", source, response.StatusCode, http.StatusOK)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxListBytes))
}

// Parse decodes a list. It rejects the whole list if one entry is not valid.
func Parse(data []byte) (host.Feed, error) {
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return host.Feed{}, fmt.Errorf("platform's list can't be decoded: %w", err)
	}
	out := host.Feed{Links: map[plan.Link]float64{}}
	for _, e := range list.Endpoints {
		if _, err := netip.ParseAddrPort(e.Endpoint); err != nil {
			return host.Feed{}, fmt.Errorf("endpoint %q is not an ip:port", e.Endpoint)
		}
		if e.State != live && e.State != leaving || e.Since <= 0 {
			return host.Feed{}, fmt.Errorf("endpoint %q has state %q since %d; expected Live or Leaving since a time", e.Endpoint, e.State, e.Since)
		}
		out.Notices = append(out.Notices, member.Notice{Endpoint: e.Endpoint, Leaving: e.State == leaving, Since: core.Millis(e.Since)})
	}
	for _, l := range list.Links {
		if !(l.UsedBits >= 0) {
			return host.Feed{}, fmt.Errorf("link %s-%s has %g bits per second; expected at least 0", l.From, l.To, l.UsedBits)
		}
		out.Links[plan.Link{From: l.From, To: l.To}] = l.UsedBits
	}
	return out, nil
}
