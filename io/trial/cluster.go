package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"clementinelock/core"
	"clementinelock/core/ctrl"
	"clementinelock/core/tree"
	"clementinelock/io/certs"
	"clementinelock/io/config"
	"clementinelock/io/daemon"
	"clementinelock/io/deploy"
	"clementinelock/io/load"
	"clementinelock/io/oper"
	"clementinelock/io/shell"
	"clementinelock/io/stand"
)

const (
	certificateLifetime = 24 * time.Hour
	readyTimeout        = 20 * time.Second
	pollInterval        = 20 * time.Millisecond
)

// Cluster is the whole deployment of one user on loopback, in this process. Set the exported fields before Start.
type Cluster struct {
	TreeFile    string
	Folder      string
	ServiceTime time.Duration
	Seed        uint64
	StopWithin  core.Millis

	Tree       *tree.Tree
	Upstreams  *stand.Upstreams
	Hosts      []deploy.Host
	Daemons    map[string]*daemon.Daemon
	deployment *deploy.Deployment
	listServer *http.Server
	operator   *oper.Client
	log        *os.File
}

// Start writes the deployment, starts the stand-in upstreams and every host, and puts the tree in force.
func (c *Cluster) Start(ctx context.Context) error {
	var err error
	if c.Tree, err = config.ReadTree(c.TreeFile); err != nil {
		return err
	}
	c.Upstreams = &stand.Upstreams{Tree: c.Tree, ServiceTime: c.ServiceTime, Seed: c.Seed}
	if err := c.Upstreams.Start(); err != nil {
		return err
	}
	if err := c.writeDeployment(); err != nil {
		return err
	}
	c.Daemons = map[string]*daemon.Daemon{}
	for _, host := range c.Hosts {
		if err := c.StartHost(ctx, host.Name); err != nil {
			return err
		}
	}
	return c.putTree(ctx)
}

func (c *Cluster) writeDeployment() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.listServer = &http.Server{Handler: c.Upstreams.ListHandler(), ReadHeaderTimeout: time.Second}
	// After Close, Serve returns http.ErrServerClosed.
	go func() { _ = c.listServer.Serve(listener) }()
	c.deployment = &deploy.Deployment{
		Folder: c.Folder, Tree: c.Tree, Feed: "http://" + listener.Addr().String() + "/", Validity: certificateLifetime, StopWithin: c.StopWithin,
	}
	if c.Hosts, err = c.deployment.Write(); err != nil {
		return err
	}
	if c.log, err = os.Create(filepath.Join(c.Folder, "hosts.log")); err != nil {
		return err
	}
	c.operator = &oper.Client{Keys: &certs.Keys{Files: c.deployment.OperatorKeys()}}
	for _, host := range c.Hosts {
		c.operator.Hosts = append(c.operator.Hosts, host.Settings.OperatorAddress)
	}
	return c.operator.Keys.Load()
}

// StartHost starts or restarts a host.
func (c *Cluster) StartHost(ctx context.Context, name string) error {
	for _, host := range c.Hosts {
		if host.Name != name {
			continue
		}
		settings := host.Settings
		settings.FeedEvery = 250 * core.Millisecond
		d := &daemon.Daemon{Settings: settings, LogOutput: c.log}
		c.Daemons[name] = d
		return d.Start(ctx)
	}
	return fmt.Errorf("host %q does not exist", name)
}

func (c *Cluster) putTree(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		code, text := c.Shell(ctx, "apply", c.TreeFile)
		if code == shell.ExitOK {
			return c.waitInForce(ctx, 1)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("tree %s was not put in force: %s", c.TreeFile, text)
		case <-time.After(5 * pollInterval):
		}
	}
}

// Shell runs one verb of the operators' command line and returns its exit code and output.
func (c *Cluster) Shell(ctx context.Context, verb string, args ...string) (int, string) {
	files := c.deployment.OperatorKeys()
	hosts := ""
	for i, address := range c.operator.Hosts {
		if i > 0 {
			hosts += ","
		}
		hosts += address
	}
	line := []string{verb, "--hosts", hosts, "--certificate", files.Certificate, "--key", files.Key, "--authority", files.Authority}
	var out bytes.Buffer
	code := shell.Main(ctx, append(line, args...), &out, &out)
	return code, out.String()
}

// waitInForce waits until every running host has the version in force.
func (c *Cluster) waitInForce(ctx context.Context, version uint64) error {
	for {
		lagging := 0
		for _, d := range c.Daemons {
			if d.Dump().Version < version {
				lagging++
			}
		}
		if lagging == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d hosts do not have version %d in force", lagging, version)
		case <-time.After(pollInterval):
		}
	}
}

// waitServing waits until every running host has a plan and a recovered ledger.
func (c *Cluster) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		notReady := 0
		for _, d := range c.Daemons {
			dump := d.Dump()
			if dump.Plan == nil || !dump.Ledger.Recovered {
				notReady++
			}
		}
		if notReady == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d hosts still have no plan or no recovered ledger", notReady)
		case <-time.After(pollInterval):
		}
	}
}

// Callers returns one caller per region; each knows all entry hosts.
func (c *Cluster) Callers() []*load.Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	var out []*load.Caller
	view := tree.NewView(c.Tree)
	for _, region := range view.Regions {
		caller := &load.Caller{HTTP: &http.Client{Transport: transport}, ClientAddress: region.Settings.Clients[0].Addr().Next().String()}
		for _, name := range view.HostNames() {
			place, _ := view.Host(name)
			caller.Bootstrap = append(caller.Bootstrap, place.CallerAddress)
		}
		out = append(out, caller)
	}
	return out
}

// Version returns the version of the tree that the leader has accepted.
func (c *Cluster) Version(ctx context.Context) (uint64, error) {
	body, err := c.operator.Ask(ctx, ctrl.Request{Question: ctrl.AskTree})
	if err != nil {
		return 0, err
	}
	return body.Tree.Version, nil
}

// Stop kills every host and stops the stand-in upstreams.
func (c *Cluster) Stop() {
	for _, d := range c.Daemons {
		d.Kill()
	}
	for _, d := range c.Daemons {
		_ = d.Wait()
	}
	if c.listServer != nil {
		_ = c.listServer.Close()
	}
	if c.Upstreams != nil {
		c.Upstreams.Stop()
	}
	if c.log != nil {
		_ = c.log.Close()
	}
}

// WriteLogTail writes the last 8 KiB of the hosts' log.
func (c *Cluster) WriteLogTail(w io.Writer) {
	const tail = 8 << 10
	data, err := os.ReadFile(filepath.Join(c.Folder, "hosts.log"))
	if err != nil {
		return
	}
	if len(data) > tail {
		data = data[len(data)-tail:]
	}
	_, _ = w.Write(data)
}
