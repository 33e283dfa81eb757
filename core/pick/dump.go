package pick

import "clementinelock/core"

// EndpointDump is this host's view of one endpoint.
type EndpointDump struct {
	ID       string
	Service  string
	Zone     string
	Usable   bool
	Cold     bool
	InFlight int
	Load     float64
	// FailureRate is the weighted share of recent attempts that failed.
	FailureRate float64 `json:"Failing"`
	Objects     int
	// Leaving reports that the endpoint announced that it is leaving, Backoff for how much longer it asked for no
	// requests.
	Leaving bool
	Backoff core.Millis
	// Limit is how many requests per second it takes from all hosts together, 0 if it named none.
	Limit float64
}

// Dump is a table's state for operators.
type Dump struct {
	// Share is the share of the latest requests that went to each region, Demand the share whose best endpoint is
	// there.
	Share  map[string]float64
	Demand map[string]float64 `json:"Wished"`
	// ServiceTime is the estimated service time of each service, ObjectiveShare the share of its objectives that
	// queueing and service may take.
	ServiceTime    map[string]core.Millis `json:"Work"`
	ObjectiveShare map[string]float64     `json:"Part"`
	Endpoints      []EndpointDump
}

// Dump returns the table's state.
func (t *Table) Dump(now core.Millis) Dump {
	d := Dump{Share: map[string]float64{}, Demand: map[string]float64{}, ServiceTime: map[string]core.Millis{}, ObjectiveShare: map[string]float64{}}
	requests := 0
	for _, p := range t.shift.regions {
		requests += p.recent
	}
	for _, p := range t.shift.regions {
		d.Share[p.region], d.Demand[p.region] = float64(p.recent)/float64(max(1, requests)), p.demand
	}
	for name, s := range t.services {
		d.ServiceTime[name], d.ObjectiveShare[name] = core.Millis(s.serviceTime), s.objectiveShare
		for _, e := range s.endpoints {
			d.Endpoints = append(d.Endpoints, EndpointDump{
				ID: e.ID, Service: e.Service, Zone: e.Zone, Usable: e.isUsable(now) && !t.hasEnded(now, e), Cold: t.mayBeCold(now, e), InFlight: e.inFlight,
				Load: e.load(now), FailureRate: e.failureRate, Objects: len(e.objects),
				Leaving: e.leavingSince != 0, Backoff: max(0, e.backoffUntil-now), Limit: e.limit,
			})
		}
	}
	return d
}
