package fleet

import (
	"context"
	"fmt"
	"net"
	"time"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/quota"
	"clementinelock/core/reach"
	"clementinelock/core/routes"
	"clementinelock/io/entry"
	"clementinelock/io/logs"
	"clementinelock/io/pool"

	"github.com/prometheus/client_golang/prometheus"
)

// Entry is the process of an entry host. Set the exported fields before Run.
type Entry struct {
	host
	machine *fleet.Entry
	server  *entry.Server
	pool    *pool.Pool
	metrics *metrics
	version uint64
	ready   bool
	// held logs refusals for want of memory or descriptors.
	held heldLog
	// cut is set while this host reaches no endpoint.
	cut bool
	// quotas holds the tokens of customers' quotas, acquiring the requests that wait for one.
	quotas    quota.Client
	acquiring map[uint64]chan quota.Decision
}

// NewEntry returns an entry host with these settings.
func NewEntry(s Settings, p Platform, log *logs.Logger) *Entry {
	return &Entry{host: newHost(s, p, log)}
}

// Run serves until the stop context is cancelled and the planned stop is complete; it returns an error if the
// host can't continue.
func (e *Entry) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := e.start(ctx); err != nil {
		return err
	}
	defer e.closeServers()
	select {
	case err := <-e.failure:
		return err
	case <-stop.Done():
	}
	e.stop()
	return nil
}

func (e *Entry) start(ctx context.Context) error {
	s := &e.Settings
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.metrics = newMetrics(prometheus.NewRegistry(), &e.host)
	e.pool = &pool.Pool{Dialect: e.Platform.Dialect(), LocalIP: net.ParseIP(s.Host)}
	picks := &pick.Table{Name: s.Host, StartedAt: e.clock.Now(), Region: s.Region, Zone: s.Zone, RegionByZone: s.Regions, Bounds: s.Bounds, Rand: newRand(), OnRemove: e.pool.CloseIdle, IsConnectedSince: e.isConnectedSince, Log: e.Log.Info}
	e.server = &entry.Server{Dialect: e.Platform.Dialect(), Pool: e.pool, Picks: picks, OnRequest: e.recordRequest, MaxHeldBytes: s.heldBytes(), MaxConnections: s.callerConnections()}
	e.pool.MaxConnections = s.endpointConnections()
	s.limitMemory()
	e.metrics.observeHeld(e.server.Held)
	e.pool.OnHeader, e.pool.OnClosed, e.pool.OnDial = e.server.RecordHeader, e.server.RecordIdleClosed, e.server.RecordDial
	e.server.Helpers = &reach.Helpers{Region: s.Region, Zone: s.Zone, Rand: newRand()}
	e.server.HelperPool = &pool.Pool{Dialect: e.Platform.Dialect(), LocalIP: net.ParseIP(s.Host)}
	e.server.HelperAddress = s.peerAddress
	e.metrics.observeReach(e.server.ReachCounts)
	e.metrics.observeNotices(func() (counts pick.NoticeCounts) {
		e.server.Update(nil, func(p *pick.Table) { counts = p.Notices })
		return counts
	})
	e.server.OnAcceptError = func(err error) {
		e.Log.Error("callers", fmt.Errorf("accepting a connection failed, retrying shortly: %w", err))
	}
	if err := e.openNetwork(ctx, e.receive); err != nil {
		return err
	}
	e.server.Now = e.clock.Now
	now := e.clock.Now()
	e.machine = &fleet.Entry{
		EntryHost: fleet.EntryHost{Name: s.Host, Region: s.Region, Zone: s.Zone, Address: s.Callers, Process: uint64(now)},
		Rand:      newRand(), Seeds: s.seedHosts(), RequestCapacity: requestsPerCore * s.Cores, ByteCapacity: bytesPerMbps * s.LinkMbps,
	}
	e.machine.Start(now)
	e.recordContact()
	e.quotas = quota.Client{Rand: newRand(), Pools: e.machine.QuotaPools}
	e.acquiring = map[uint64]chan quota.Decision{}
	e.server.Quotas, e.server.MaxKeyAge = e, core.Millis(s.MaxKeyAgeMillis)
	e.metrics.observeQuotas(e.quotaCounts)
	listener, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return err
	}
	go func() {
		if err := e.server.Serve(ctx, listener); err != nil {
			e.fail(err)
		}
	}()
	hosts, err := net.Listen("tcp", s.peerAddress(s.Host))
	if err != nil {
		return err
	}
	go func() {
		if err := e.server.ServeHosts(ctx, hosts); err != nil {
			e.fail(err)
		}
	}()
	go e.pool.Sweep(ctx)
	go e.server.HelperPool.Sweep(ctx)
	go every(ctx, fleet.EntryTickInterval, func() { e.server.Probe(ctx) })
	go every(ctx, fleet.EntryTickInterval, func() { e.step(e.tick) })
	if err := e.listen(s.Readiness, e.Platform.ReadinessHandler(e.isReady), s.statusGuard()); err != nil {
		return err
	}
	e.Log.Info("host", fmt.Sprintf("Starting entry host %s in availability zone %s.", s.Name, s.Zone))
	return e.listenStatus(e.metrics, e.dump)
}

// isConnectedSince reports whether there is an idle connection to an address that was opened before a time.
func (e *Entry) isConnectedSince(address string, at core.Millis) bool {
	return e.pool.HasIdleSince(address, time.Now().Add(-(e.clock.Now() - at).Duration()))
}

// entryDump is the state of an entry host, as shown by /dump.
type entryDump struct {
	Known    fleet.EntryDump
	Choices  pick.Dump
	Reach    entry.ReachDump
	Requests int
	Stopping bool
	// Quotas is what this host holds of customers' quotas.
	Quotas []quota.AccountDump
}

func (e *Entry) dump() any {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	d := entryDump{Known: e.machine.Dump(now), Requests: e.server.Active(), Stopping: e.server.Stopping(), Quotas: e.quotas.Dump(now)}
	e.server.Update(nil, func(p *pick.Table) { d.Choices = p.Dump(now) })
	d.Reach = e.server.ReachDump()
	return d
}

func (e *Entry) step(input func(now core.Millis) core.Effects) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	defer e.recoverPanic()
	e.sendAndLog(input(e.clock.Now()))
}

func (e *Entry) tick(now core.Millis) core.Effects {
	e.machine.Traffic.Requests, e.machine.Traffic.Bytes = e.server.Traffic()
	crashes, served := e.server.TakeReports(now)
	effects := e.machine.RecordCrashes(now, crashes)
	if line := e.held.line(now, e.server.Held()); line != "" {
		e.Log.Info("callers", line)
	}
	e.decide(e.quotas.Tick(now, &effects))
	e.machine.RecordServed(now, served)
	ended := e.machine.RecordEnded(now, e.server.TakeEnded(now))
	changed, more := e.machine.DecideAlone(now)
	if changed {
		e.updateServer(now)
	}
	for _, each := range []core.Effects{ended, more, e.reportCut(now), e.machine.Tick(now)} {
		effects.Logs = append(effects.Logs, each.Logs...)
		effects.Sends = append(effects.Sends, each.Sends...)
	}
	return effects
}

// reportCut tells the control host when this host can't reach endpoints, and when it can again.
func (e *Entry) reportCut(now core.Millis) core.Effects {
	cut := e.server.Cut()
	if cut == e.cut {
		return core.Effects{}
	}
	e.cut = cut
	if cut {
		e.Log.Info("reach", fmt.Sprintf("No endpoint can be reached; requests go to %d other entry hosts.", len(e.machine.View(now).Peers.Helpers)))
	} else {
		e.Log.Info("reach", "Endpoints can be reached again.")
	}
	return e.machine.SetCut(now, cut)
}

func (e *Entry) receive(from string, message core.Message) {
	e.step(func(now core.Millis) core.Effects {
		if grant, ok := message.(*quota.Grant); ok {
			return e.receiveGrant(now, from, grant)
		}
		changed, effects := e.machine.Receive(now, from, message)
		e.recordContact()
		if _, isUpdate := message.(*fleet.Update); isUpdate && !changed {
			e.server.Update(nil, func(p *pick.Table) { changed = p.AwaitsList() })
		}
		if !changed {
			return effects
		}
		e.updateServer(now)
		if !e.ready && e.server.Table() != nil && e.machine.View(now).ListKnown && !e.server.Stopping() {
			e.ready = true
			e.Log.Info("host", "Ready for requests.")
			more := e.machine.SetReady(now, true)
			effects.Sends = append(effects.Sends, more.Sends...)
		}
		return effects
	})
}

// recordContact applies the latest contact with a control host to the server.
func (e *Entry) recordContact() {
	at, lease := e.machine.ContactAt(), e.machine.ContactLease()
	e.server.Update(nil, func(p *pick.Table) { p.RecordContact(at, lease) })
	if at != 0 {
		e.server.RecordContact(at)
	}
}

// updateServer applies the state machine's view to the server.
func (e *Entry) updateServer(now core.Millis) {
	view := e.machine.View(now)
	var table *routes.Table
	if view.Document.Version > e.version {
		decoded, err := e.Platform.Decode(view.Document)
		if err != nil {
			// A control host has validated the document, so that only a newer program can have accepted it.
			e.Log.Error("config", fmt.Errorf("version %d can't be decoded: %w", view.Document.Version, err))
		} else {
			table, e.version = decoded, view.Document.Version
		}
	}
	current := table
	if current == nil {
		current = e.server.Table()
	}
	e.server.Update(table, func(p *pick.Table) { p.Update(now, view, current) })
	e.server.SetQuarantined(view.Quarantined, view.Suspects)
	e.server.SetPeers(view.Peers.Helpers, view.Peers.Cut)
}

func (e *Entry) isReady() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.ready && !e.server.Stopping()
}

// Reload adds the seeds of the new settings; other changes need a restart.
func (e *Entry) Reload(s Settings) {
	e.step(func(now core.Millis) core.Effects {
		if e.machine == nil {
			// The host is starting and reads its seeds from the settings by itself.
			return core.Effects{}
		}
		return e.machine.AddSeeds(now, s.seedHosts())
	})
}

// stop tells callers to use other hosts, and returns when the requests in flight are answered or cut off.
func (e *Entry) stop() {
	e.Log.Info("host", fmt.Sprintf("Planned stop begins with %d requests in flight.", e.server.Active()))
	// A host that is not ready yet must not become so any more. Its time to stop does not wait for a step that is under way.
	e.server.BeginShutdown()
	go e.step(func(now core.Millis) core.Effects { return e.machine.SetReady(now, false) })
	left := e.server.Shutdown(e.Settings.stopTimeout())
	e.Log.Info("host", fmt.Sprintf("Planned stop ended with %d requests aborted.", left))
}

// recordRequest logs and counts a request.
func (e *Entry) recordRequest(record entry.RequestRecord) {
	e.metrics.count(record)
	fields := logs.Fields{
		"RequestID": clip(record.RequestID), "Route": record.Route, "Service": record.Service, "Version": record.Version, "Attempts": record.Attempts, "Hedged": record.Hedged,
		"Endpoint": record.Endpoint, "Zone": record.Zone, "Ending": record.Ending, "Status": record.Status, "Kind": record.Kind, "Detail": clip(record.Detail), "NoMore": record.NoRetryReason,
		"Wait": int64(record.Wait), "Load": record.Load, "LoadAge": int64(record.LoadAge), "Usable": record.Usable, "Cold": record.Cold, "ContactAge": int64(record.ContactAge), "Object": record.Object, "Place": record.Affinity, "Took": int64(record.Latency), "Patience": int64(record.CallerTimeout), "Caller": record.Caller, "Digest": record.Digest.String(),
	}
	if record.Handovers > 0 {
		fields["Helper"], fields["Handovers"] = record.Helper, record.Handovers
	}
	if record.From != "" {
		fields["From"] = record.From
	}
	if record.Customer != "" {
		fields["Customer"] = record.Customer
	}
	e.Log.Line("request", "Answers.", fields)
}
