package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"clementinelock/core"
	"clementinelock/io/load"
	"clementinelock/io/shell"
)

// Demo runs one deployment under load through an edit, a drain, a planned stop and a crash, and checks the results.
// Set the exported fields before Run.
type Demo struct {
	TreeFile string
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Out      io.Writer

	cluster  *Cluster
	failures []error
}

const (
	demoServiceTime = 8 * time.Millisecond
	demoDeadline    = 2 * core.Second
	demoKeyedShare  = 0.3
	maxDrainTime    = 3 * time.Second
	maxStopTime     = 15 * time.Second
)

// Run runs the demo; it returns an error if a check failed.
func (d *Demo) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "clementinelock-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d.cluster = &Cluster{TreeFile: d.TreeFile, Folder: folder, ServiceTime: demoServiceTime, Seed: d.Seed, StopWithin: 20 * core.Second}
	defer d.cluster.Stop()
	began := time.Now()
	if err := d.cluster.Start(ctx); err != nil {
		d.cluster.WriteLogTail(d.Out)
		return err
	}
	if err := d.cluster.waitServing(ctx); err != nil {
		d.cluster.WriteLogTail(d.Out)
		return err
	}
	fmt.Fprintf(d.Out, "started     %d entry hosts and %d endpoints in %s\n", len(d.cluster.Hosts), len(d.cluster.Upstreams.Usages()), round(time.Since(began)))
	report := d.runScenario(ctx)
	d.checkResults(report)
	return errors.Join(d.failures...)
}

func round(t time.Duration) time.Duration {
	return t.Round(time.Millisecond)
}

func (d *Demo) fail(format string, args ...any) {
	err := fmt.Errorf(format, args...)
	d.failures = append(d.failures, err)
	fmt.Fprintf(d.Out, "FAILED      %v\n", err)
}

// runScenario runs the load and, meanwhile, an edit, a drain, a planned stop and a crash.
func (d *Demo) runScenario(ctx context.Context) *load.Report {
	services := viewOf(d.cluster.Tree).Services
	generator := &load.Generator{
		Callers: d.cluster.Callers(), Services: services, Rate: d.Rate, Duration: d.Duration,
		Deadline: demoDeadline, KeyedShare: demoKeyedShare, Seed: d.Seed,
	}
	done := make(chan *load.Report)
	go func() { done <- generator.Run(ctx) }()
	d.edit(ctx)
	d.drain(ctx)
	d.plannedStop()
	d.crash()
	return <-done
}

// edit makes an edit and measures the time until it is in force at all hosts.
func (d *Demo) edit(ctx context.Context) {
	time.Sleep(time.Second)
	began := time.Now()
	code, text := d.cluster.Shell(ctx, "set", "/", "QueueLimit=150")
	if code != shell.ExitOK {
		d.fail("the edit was not accepted: %s", text)
		return
	}
	accepted := time.Since(began)
	version, err := d.cluster.Version(ctx)
	if err == nil {
		err = d.cluster.waitInForce(ctx, version)
	}
	if err != nil {
		d.fail("the edit is not in force: %v", err)
		return
	}
	fmt.Fprintf(d.Out, "edit        accepted after %s, version %d in force at all hosts after %s\n", round(accepted), version, round(time.Since(began)))
}

// drain marks an endpoint as leaving in the platform's list and measures when its last request begins.
func (d *Demo) drain(ctx context.Context) {
	view := viewOf(d.cluster.Tree)
	endpoint := view.Service(view.Zones[0].Name, view.Services[0]).Endpoints[0]
	notice := time.Now()
	d.cluster.Upstreams.MarkLeaving(endpoint)
	select {
	case <-ctx.Done():
	case <-time.After(maxDrainTime + time.Second):
	}
	for _, usage := range d.cluster.Upstreams.Usages() {
		if usage.Address != endpoint {
			continue
		}
		last := max(0, usage.LastBegan.Sub(notice))
		fmt.Fprintf(d.Out, "drain       endpoint %s began its last request %s after the notice\n", endpoint, round(last))
		if last > maxDrainTime {
			d.fail("leaving endpoint %s got a new request %s after the notice, more than %s", endpoint, round(last), maxDrainTime)
		}
	}
}

// plannedStop stops a host gracefully.
func (d *Demo) plannedStop() {
	name := d.cluster.Hosts[1].Name
	began := time.Now()
	host := d.cluster.Daemons[name]
	host.Stop()
	if err := host.Wait(); err != nil {
		d.fail("host %s failed during its planned stop: %v", name, err)
	}
	delete(d.cluster.Daemons, name)
	took := time.Since(began)
	fmt.Fprintf(d.Out, "stop        host %s stopped in %s\n", name, round(took))
	if took > maxStopTime {
		d.fail("planned stop of host %s took %s, more than %s", name, round(took), maxStopTime)
	}
}

// crash kills a host without a graceful stop.
func (d *Demo) crash() {
	name := d.cluster.Hosts[len(d.cluster.Hosts)-1].Name
	host := d.cluster.Daemons[name]
	host.Kill()
	_ = host.Wait()
	delete(d.cluster.Daemons, name)
	fmt.Fprintf(d.Out, "crash       host %s was killed\n", name)
}

// checkResults prints the figures and checks the guarantees.
func (d *Demo) checkResults(report *load.Report) {
	lookups := 0
	for _, host := range d.cluster.Daemons {
		lookups += int(host.Lookups())
	}
	fmt.Fprintf(d.Out, "look-ups    %d, cached by callers for their time to live\n", lookups)
	fmt.Fprintf(d.Out, "requests    %d sent, %d answered, p50 %s, p99 %s\n", len(report.Results), report.Answered, round(report.Quantile(0.5)), round(report.Quantile(0.99)))
	for kind, count := range report.Kinds {
		fmt.Fprintf(d.Out, "refused     %d %s\n", count, kind)
	}
	fmt.Fprintf(d.Out, "unanswered  %d connections ended without an answer (the crash may cause some)\n", report.Failed)
	doubles, ranAfterNo := d.audit(report)
	over := 0
	for _, usage := range d.cluster.Upstreams.Usages() {
		over += usage.OverLimit
	}
	checks := []struct {
		name  string
		count int
	}{
		{"doubles", doubles}, {"run after 'not run'", ranAfterNo}, {"wrong answers", report.Wrong}, {"cut off in a planned stop", d.cutOff(report)}, {"above an endpoint's slots", over},
	}
	for _, check := range checks {
		fmt.Fprintf(d.Out, "%-28s= %d\n", check.name, check.count)
		if check.count != 0 {
			d.fail("%s: %d", check.name, check.count)
		}
	}
	if report.Answered == 0 {
		d.fail("no request was answered")
	}
}

// cutOff counts the answers that were cut off, less the number of requests that failed: the crash may cut off
// the answers of its host.
func (d *Demo) cutOff(report *load.Report) int {
	return max(0, report.CutOff-report.Failed)
}

// audit compares the outcomes that callers saw with the runs at the upstreams. It counts keyed requests that ran
// more than once, and those that ran although the answer said that they had not.
func (d *Demo) audit(report *load.Report) (doubles, ranAfterNo int) {
	for _, sent := range report.Results {
		key := sent.Key
		if key == "" {
			continue
		}
		runs := d.cluster.Upstreams.Runs(key)
		if runs > 1 {
			doubles++
		}
		if sent.Ran == core.RanNo && runs > 0 {
			ranAfterNo++
		}
	}
	return doubles, ranAfterNo
}
