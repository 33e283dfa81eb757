package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"clementinelock/core"
	"clementinelock/core/edits"
	"clementinelock/core/fleet"
	"clementinelock/core/quota"
	"clementinelock/core/routes"
	"clementinelock/io/disk"
	"clementinelock/io/logs"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	listReadTimeout = 900 * time.Millisecond
	// firstListReadTimeout allows for connections that are not open yet.
	firstListReadTimeout = 1500 * time.Millisecond
	// handoverDelay gives a successor time to be elected before a leader stops.
	handoverDelay     = 400 * time.Millisecond
	diskRetryInterval = 200 * time.Millisecond
)

var errFenced = errors.New("the data folder is older than what this replica has acknowledged")

// Control is the process of a control host. Set the exported fields before Run.
type Control struct {
	host
	machine       *fleet.Control
	folder        *disk.Folder
	pendingWrites []core.Write
	wake          chan struct{}
	// writesEnded is closed once no more writes reach the folder.
	writesEnded chan struct{}
	replies     map[uint64]chan core.Reply
	lastTicket  uint64
	readingList bool
	list        listReader
}

// NewControl returns a control host with these settings.
func NewControl(s Settings, p Platform, log *logs.Logger) *Control {
	return &Control{
		host: newHost(s, p, log), wake: make(chan struct{}, 1), writesEnded: make(chan struct{}), replies: map[uint64]chan core.Reply{},
		list: listReader{platform: p, address: s.List, zones: slices.Sorted(maps.Keys(s.Regions))},
	}
}

// Run serves until the stop context is cancelled and the planned stop is complete; it returns an error if the
// host can't continue.
func (c *Control) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := c.start(ctx); err != nil {
		return err
	}
	defer c.closeServers()
	select {
	case err := <-c.failure:
		if !errors.Is(err, errFenced) {
			return err
		}
		cancel()
		return c.resetFolder(err)
	case <-stop.Done():
	}
	c.Log.Info("host", "Planned stop begins.")
	c.step(c.machine.Stop)
	time.Sleep(handoverDelay)
	return nil
}

func (c *Control) start(ctx context.Context) error {
	s := &c.Settings
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s.limitMemory()
	if err := c.openNetwork(ctx, c.receive); err != nil {
		return err
	}
	stored, err := c.openFolder()
	if err != nil {
		return err
	}
	now := c.clock.Now()
	c.machine = &fleet.Control{
		ControlHost: fleet.ControlHost{Name: s.Host, Region: s.Region, Zone: s.Zone},
		Process:     uint64(now), Rand: newRand(), Seeds: s.seedHosts(), ListCallsPerSecond: s.ListCallsPerSecond,
		QuotaBounds: s.QuotaBounds.bounds(), Founding: s.Founding, QuotasOf: c.quotasOf,
	}
	effects, err := c.machine.Start(now, stored)
	if err != nil {
		return err
	}
	c.applyEffects(effects)
	c.lastTicket = uint64(now)
	go c.writeLoop(ctx)
	go every(ctx, fleet.ControlTickInterval, func() { c.tick(ctx) })
	if err := c.listen(s.Operators, c.Platform.OperatorHandler(c), s.operatorGuard()); err != nil {
		return err
	}
	if s.Directory != "" {
		if err := c.listen(s.Directory, c.Platform.DirectoryHandler(c, s.LookupSeconds), s.directoryGuard()); err != nil {
			return err
		}
	}
	c.Log.Info("host", fmt.Sprintf("Starting control host %s in availability zone %s with %d records on disk.", s.Name, s.Zone, len(stored.Records)))
	return c.listenStatus(newMetrics(prometheus.NewRegistry(), &c.host), c.dump)
}

// Reload adds the seeds of the new settings; other changes need a restart.
func (c *Control) Reload(s Settings) {
	c.step(func(now core.Millis) core.Effects {
		if c.machine == nil {
			// The host is starting and reads its seeds from the settings by itself.
			return core.Effects{}
		}
		return c.machine.AddSeeds(now, s.seedHosts())
	})
}

// quotasOf returns the customers' quotas of a document.
func (c *Control) quotasOf(document routes.Document) (map[string]quota.Limit, error) {
	table, err := c.Platform.Decode(document)
	if err != nil || table.Customers == nil {
		return nil, err
	}
	return table.Customers.Quotas(), nil
}

// dump returns the state of the host.
func (c *Control) dump() any {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.machine.Dump(c.clock.Now())
}

// openFolder opens the data folder. At the first start of a deployment, a seed initialises its folder and
// thereby founds the quorum group.
func (c *Control) openFolder() (core.Stored, error) {
	s := &c.Settings
	if s.Founding && s.isSeed() {
		founded, err := disk.IsInitialised(s.DataFolder)
		if err != nil {
			return core.Stored{}, err
		}
		if !founded {
			if err := disk.Initialise(s.DataFolder); err != nil {
				return core.Stored{}, err
			}
		}
	}
	c.folder = &disk.Folder{Path: s.DataFolder}
	if err := c.folder.Open(); err != nil {
		return core.Stored{}, err
	}
	return c.folder.Load()
}

func (s *Settings) isSeed() bool {
	for _, seed := range s.seedHosts() {
		if seed == s.Host {
			return true
		}
	}
	return false
}

// step passes one input to the state machine under the lock and applies its effects.
func (c *Control) step(input func(now core.Millis) core.Effects) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	defer c.recoverPanic()
	c.applyEffects(input(c.clock.Now()))
}

func (c *Control) applyEffects(e core.Effects) {
	c.sendAndLog(e)
	if len(e.Writes) > 0 {
		c.pendingWrites = append(c.pendingWrites, e.Writes...)
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	for _, r := range e.Replies {
		if reply := c.replies[r.Ticket]; reply != nil {
			delete(c.replies, r.Ticket)
			reply <- r
		}
	}
}

func (c *Control) receive(from string, message core.Message) {
	c.step(func(now core.Millis) core.Effects { return c.machine.Receive(now, from, message) })
}

func (c *Control) tick(ctx context.Context) {
	c.step(c.machine.Tick)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machine.Fenced() {
		c.fail(errFenced)
		return
	}
	if !c.readingList && c.Settings.List != "" && c.machine.ListReadDue(c.clock.Now()) {
		c.readingList = true
		go c.readList(ctx)
	}
}

// resetFolder empties the data folder of a fenced host, once the writes under way have ended: they would reach the emptied folder.
func (c *Control) resetFolder(fenced error) error {
	<-c.writesEnded
	if err := c.folder.Reset(strconv.FormatInt(time.Now().UnixMilli(), 10)); err != nil {
		return fmt.Errorf("%w; its files could not be moved to a subfolder: %w", fenced, err)
	}
	return fmt.Errorf("%w; its files were moved to a subfolder, restart the host", fenced)
}

// readList reads the platform's list once and passes it to the state machine.
func (c *Control) readList(ctx context.Context) {
	askedAt := c.clock.Now()
	timeout := listReadTimeout
	if !c.list.known {
		timeout = firstListReadTimeout
	}
	readCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	entries, calls, err := c.list.read(readCtx)
	if err != nil && ctx.Err() == nil {
		c.Log.Error("list", err)
	}
	c.step(func(now core.Millis) core.Effects {
		c.readingList = false
		if err != nil {
			return core.Effects{}
		}
		return c.machine.SetList(now, askedAt, entries, calls)
	})
}

// writeLoop syncs the writes of the state machine, waiting writes in one batch.
func (c *Control) writeLoop(ctx context.Context) {
	defer close(c.writesEnded)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		c.mutex.Lock()
		batch := c.pendingWrites
		c.pendingWrites = nil
		c.mutex.Unlock()
		if len(batch) == 0 {
			continue
		}
		if !c.syncBatch(ctx, batch) {
			return
		}
		last := batch[len(batch)-1].Seq
		c.step(func(now core.Millis) core.Effects { return c.machine.Synced(now, last) })
	}
}

// syncBatch syncs a batch of writes; it reports false when the context ends first. A write that fails is retried
// until it succeeds; in the meantime the host runs on but acknowledges nothing.
func (c *Control) syncBatch(ctx context.Context, batch []core.Write) bool {
	err := c.folder.Apply(batch...)
	if err == nil {
		return true
	}
	c.Log.Error("disk", fmt.Errorf("writing to the data folder failed, retrying every %s: %w", diskRetryInterval, err))
	for err != nil {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(diskRetryInterval):
		}
		err = c.folder.Sync()
	}
	c.Log.Info("disk", "The data folder accepts writes again.")
	return true
}

// submit passes an operator's request to the state machine and waits for the reply.
func (c *Control) submit(ctx context.Context, request func(now core.Millis, ticket uint64) core.Effects) core.Reply {
	reply := make(chan core.Reply, 1)
	var ticket uint64
	c.step(func(now core.Millis) core.Effects {
		c.lastTicket++
		ticket = c.lastTicket
		c.replies[ticket] = reply
		return request(now, ticket)
	})
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		c.step(func(now core.Millis) core.Effects {
			delete(c.replies, ticket)
			return c.machine.Abandon(now, ticket)
		})
		return core.Reply{Refusal: core.Refuse(core.NoLeader, core.RanUnknown, "the operator disconnected before the reply")}
	}
}

// Publish brings a document into force; it returns a refusal if no leader confirmed it.
func (c *Control) Publish(ctx context.Context, document routes.Document) *core.Refusal {
	r := c.submit(ctx, func(now core.Millis, ticket uint64) core.Effects { return c.machine.Publish(now, ticket, document) })
	c.logOrder(fmt.Sprintf("Version %d", document.Version), r.Refusal)
	return r.Refusal
}

// Evacuate starts or ends the evacuation of an availability zone.
func (c *Control) Evacuate(ctx context.Context, zone string, active bool) *core.Refusal {
	order := edits.Evacuation{Zone: zone, Active: active}
	r := c.submit(ctx, func(now core.Millis, ticket uint64) core.Effects { return c.machine.Evacuate(now, ticket, order) })
	c.logOrder(fmt.Sprintf("Evacuation of %s: %t", zone, active), r.Refusal)
	return r.Refusal
}

func (c *Control) logOrder(order string, refusal *core.Refusal) {
	if refusal != nil {
		c.Log.Info("order", fmt.Sprintf("%s is not confirmed: %v.", order, refusal))
		return
	}
	c.Log.Info("order", order+" is confirmed.")
}

// Read returns the newest document, or a refusal if this host can't be sure which one that is.
func (c *Control) Read(ctx context.Context) (routes.Document, *core.Refusal) {
	r := c.submit(ctx, c.machine.Read)
	if r.Refusal != nil {
		c.logOrder("A read of the configuration", r.Refusal)
	}
	if result, ok := r.Body.(*fleet.OrderResult); ok {
		return result.Document, r.Refusal
	}
	return routes.Document{}, r.Refusal
}

// EntryHosts returns the addresses of the entry hosts for a caller in the availability zone.
func (c *Control) EntryHosts(region, zone string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.machine.Directory(region, zone)
}
