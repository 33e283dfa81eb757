package plan_test

import (
	"math"
	"reflect"
	"testing"

	"clementinelock/core"
	"clementinelock/core/plan"
	"clementinelock/core/tree"
	"clementinelock/io/config"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func view(t *testing.T, changes ...tree.Change) *tree.View {
	t.Helper()
	read, err := config.ReadTree("../../examples/yildirim/tree.toml")
	if err != nil {
		t.Fatal(err)
	}
	changed, err := read.With(changes)
	if err != nil {
		t.Fatal(err)
	}
	return tree.NewView(changed)
}

func input(v *tree.View, loadFactors []float64, lost string) plan.Input {
	in := plan.Input{View: v, Demand: map[plan.Flow]float64{}, BitsPerRequest: map[string]float64{"galeri": 1e5}, LinkUsed: map[plan.Link]float64{}}
	none := func(string) bool { return false }
	for i, pool := range plan.Pools(v, nil, none, none) {
		in.Demand[plan.Flow{Region: pool.Region, Service: pool.Service}] = pool.Capacity * loadFactors[i%len(loadFactors)]
	}
	in.Pools = plan.Pools(v, nil, func(zone string) bool { return zone == lost }, none)
	return in
}

// TestProperties checks plans of random demand: shares sum to 1, demand that fits the capacity is not refused,
// shifts stay within the cap, and the same input gives the same plan.
func TestProperties(t *testing.T) {
	v := view(t)
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(2))
	loadFactors := gen.SliceOfN(12, gen.Float64Range(0, 0.9))
	properties.Property("plan invariants hold", prop.ForAll(func(before, after []float64, elapsed int64) bool {
		first := plan.Compute(input(v, before, ""))
		in := input(v, after, "")
		in.Previous, in.Elapsed = first.Plan, core.Millis(elapsed)
		second := plan.Compute(in)
		return sumsToOne(first.Plan) && sumsToOne(second.Plan) && withinCap(in, first.Plan, second.Plan) &&
			reflect.DeepEqual(second, plan.Compute(in)) && refusesLittle(input(v, after, ""))
	}, loadFactors, loadFactors, gen.Int64Range(0, 10_000)))
	properties.TestingRun(t)
}

func sumsToOne(p *plan.Plan) bool {
	for _, services := range p.Shares {
		for _, shares := range services {
			sum := 0.0
			for _, share := range shares {
				sum += share
			}
			if math.Abs(sum-1) > 1e-9 {
				return false
			}
		}
	}
	return true
}

// withinCap reports whether every service shifted no more traffic than its cap allows in the elapsed time.
func withinCap(in plan.Input, before, after *plan.Plan) bool {
	const shiftCap, rounding = 0.2, 1e-3
	for _, service := range in.View.Services {
		moved, total := 0.0, 0.0
		for _, from := range in.View.Regions {
			demand := in.Demand[plan.Flow{Region: from.Name, Service: service}]
			total += demand
			for _, to := range in.View.Regions {
				moved += demand * max(0, after.SharesOf(from.Name, service)[to.Name]-before.SharesOf(from.Name, service)[to.Name])
			}
		}
		if total > 0 && moved/total > shiftCap*float64(in.Elapsed)/60000+rounding {
			return false
		}
	}
	return true
}

// refusesLittle reports whether a first plan refuses at most 1% of the demand of each service whose demand is below
// 95% of its capacity.
func refusesLittle(in plan.Input) bool {
	r := plan.Compute(in)
	for _, service := range in.View.Services {
		demand, capacity, refused := 0.0, 0.0, 0.0
		for _, region := range in.View.Regions {
			flow := plan.Flow{Region: region.Name, Service: service}
			demand += in.Demand[flow]
			refused += r.Refused[flow]
			for _, pool := range in.Pools {
				if pool.Region == region.Name && pool.Service == service {
					capacity += pool.Capacity
				}
			}
		}
		if demand < capacity*0.95 && refused > demand*0.01 {
			return false
		}
	}
	return true
}

// TestShifts checks what share of a region's traffic for a service shifts within one second, by cause.
func TestShifts(t *testing.T) {
	drain := tree.Change{Path: "/marmara:vitrin", Setting: "Drained", Value: "true"}
	passes := tree.Change{Path: "/:vitrin", Setting: "EmergencyPasses", Value: "true"}
	cases := []struct {
		name     string
		changes  []tree.Change
		lost     bool
		minMoved float64
		maxMoved float64
	}{
		{"nothing changes", nil, false, 0, 0},
		{"a region is drained", []tree.Change{drain}, false, 0.009, 0.0101},
		{"a region is lost", nil, true, 0.009, 0.0101},
		{"a region is lost and the tree lets it pass", []tree.Change{passes}, true, 0.99, 1},
		{"a region is drained although emergencies pass", []tree.Change{drain, passes}, false, 0.009, 0.0101},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			demand := []float64{0.3}
			before := plan.Compute(input(view(t), demand, ""))
			in := input(view(t, c.changes...), demand, "")
			// The region's demand stays as it was although its pools are drained or lost.
			in.Demand = input(view(t), demand, "").Demand
			if c.lost {
				for i := range in.Pools {
					if in.Pools[i].Region == "marmara" {
						in.Pools[i].Capacity = 0
					}
				}
			}
			in.Previous, in.Elapsed = before.Plan, core.Second
			moved := 1 - plan.Compute(in).Plan.SharesOf("marmara", "vitrin")["marmara"]
			if moved < c.minMoved || moved > c.maxMoved {
				t.Fatalf("share %g of marmara's vitrin moved, expected %g to %g", moved, c.minMoved, c.maxMoved)
			}
		})
	}
}

func TestEstimate(t *testing.T) {
	e := &plan.Estimate{}
	for i := range core.Millis(60) {
		e.Observe(i*core.Second, 100)
	}
	last := 59 * core.Second
	if got := e.Value(last); math.Abs(got-100) > 1 {
		t.Fatalf("steady demand of 100 is estimated as %g", got)
	}
	if fresh, stale := e.Value(last), e.Value(last+20*core.Second); stale <= fresh {
		t.Fatalf("margin does not widen with age: %g, then %g", fresh, stale)
	}
	if old, older := e.Value(last+core.Minute), e.Value(last+core.Hour); old != older {
		t.Fatalf("old estimate is not frozen: %g, then %g", old, older)
	}
}
