package routes_test

import (
	"math"
	"testing"

	"clementinelock/core"
	"clementinelock/core/routes"
)

func table(t *testing.T, all ...routes.Route) *routes.Table {
	t.Helper()
	made, err := routes.NewTable(1, routes.Limits{}, []routes.Service{{Name: "a"}, {Name: "b"}}, all)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func route(name, host, prefix string, destinations ...routes.Destination) routes.Route {
	if len(destinations) == 0 {
		destinations = []routes.Destination{{Service: "a", Weight: 1}}
	}
	return routes.Route{Name: name, Host: host, Prefix: prefix, Destinations: destinations}
}

func TestLongestPrefixWins(t *testing.T) {
	made := table(t, route("short", "h", "/x/"), route("long", "h", "/x/y/"), route("root", "h", "/"), route("other", "g", "/x/"))
	cases := []struct{ host, path, name string }{
		{"h", "/x/1", "short"}, {"h", "/x/y/1", "long"}, {"h", "/x/y", "short"}, {"h", "/z", "root"}, {"g", "/x/y/1", "other"}, {"g", "/z", ""}, {"f", "/x/", ""},
	}
	for _, c := range cases {
		got := ""
		if r := made.Find(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.name {
			t.Errorf("%s%s matches route %q, expected %q", c.host, c.path, got, c.name)
		}
	}
}

func TestWeights(t *testing.T) {
	made := table(t, route("split", "h", "/", routes.Destination{Service: "a", Weight: 90}, routes.Destination{Service: "b", Weight: 10}, routes.Destination{Service: "a", Weight: 0}))
	const points = 1000
	count := 0
	for i := range points {
		if made.Find("h", "/").Choose(float64(i)/points) == "b" {
			count++
		}
	}
	if math.Abs(float64(count)/points-0.1) > 0.001 {
		t.Fatalf("service b gets %d of %d points, expected 10%%", count, points)
	}
}

func TestInvalidRoutes(t *testing.T) {
	cases := map[string]routes.Route{
		"unknown service": route("r", "h", "/", routes.Destination{Service: "c", Weight: 1}),
		"negative weight": route("r", "h", "/", routes.Destination{Service: "a", Weight: -1}),
		"bare prefix":     route("r", "h", "x/"),
		"no service":      {Name: "r", Host: "h", Prefix: "/"},
		"long timeout":    {Name: "r", Host: "h", Prefix: "/", Timeout: routes.MaxTimeout + core.Millisecond, Destinations: []routes.Destination{{Service: "a", Weight: 1}}},
	}
	for name, each := range cases {
		if _, err := routes.NewTable(1, routes.Limits{}, []routes.Service{{Name: "a"}}, []routes.Route{each}); err == nil {
			t.Errorf("%s: route was accepted", name)
		}
	}
}
