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
	certificatesValid = 24 * time.Hour
	readyWithin       = 20 * time.Second
	checkEvery        = 20 * time.Millisecond
)

// Cluster is one user's whole deployment on loopback, in this process. Set the exported fields before Start.
type Cluster struct {
	TreeFile    string
	Folder      string
	ServiceTime time.Duration
	Seed        uint64
	StopWithin  core.Millis

	Tree       *tree.Tree
	Fleet      *stand.Fleet
	Hosts      []deploy.Host
	Daemons    map[string]*daemon.Daemon
	deployment *deploy.Deployment
	list       *http.Server
	operator   *oper.Client
	log        *os.File
}

// Start writes the deployment, starts the stand-ins and every host, and puts the tree in force.
func (c *Cluster) Start(ctx context.Context) error {
	var err error
	if c.Tree, err = config.ReadTree(c.TreeFile); err != nil {
		return err
	}
	c.Fleet = &stand.Fleet{Tree: c.Tree, ServiceTime: c.ServiceTime, Seed: c.Seed}
	if err := c.Fleet.Start(); err != nil {
		return err
	}
	if err := c.write(); err != nil {
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

func (c *Cluster) write() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.list = &http.Server{Handler: c.Fleet.ListHandler(), ReadHeaderTimeout: time.Second}
	// The error is that of the closed listener.
	go func() { _ = c.list.Serve(listener) }()
	c.deployment = &deploy.Deployment{
		Folder: c.Folder, Tree: c.Tree, Feed: "http://" + listener.Addr().String() + "/", Valid: certificatesValid, StopWithin: c.StopWithin,
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

// StartHost starts one host, or starts it again.
func (c *Cluster) StartHost(ctx context.Context, name string) error {
	for _, host := range c.Hosts {
		if host.Name != name {
			continue
		}
		settings := host.Settings
		settings.FeedEvery = 250 * core.Millisecond
		d := &daemon.Daemon{Settings: settings, LogTo: c.log}
		c.Daemons[name] = d
		return d.Start(ctx)
	}
	return fmt.Errorf("host %q does not exist", name)
}

func (c *Cluster) putTree(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		code, text := c.Shell(ctx, "apply", c.TreeFile)
		if code == shell.ExitDone {
			return c.waitInForce(ctx, 1)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the tree could not be put in force: %s", text)
		case <-time.After(5 * checkEvery):
		}
	}
}

// Shell runs one verb of the operators' command line and returns its exit code and what it printed.
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
		case <-time.After(checkEvery):
		}
	}
}

// waitServing waits until keepers are known and ledgers can tell.
func (c *Cluster) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		waiting := 0
		for _, d := range c.Daemons {
			dump := d.Dump()
			if dump.Plan == nil || !dump.Ledger.Recovered {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d hosts do not serve yet", waiting)
		case <-time.After(checkEvery):
		}
	}
}

// Callers makes one caller per region, which knows all entry hosts.
func (c *Cluster) Callers() []*load.Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	var out []*load.Caller
	view := tree.NewView(c.Tree)
	for _, region := range view.Regions {
		one := &load.Caller{HTTP: &http.Client{Transport: transport}, Client: region.Settings.Clients[0].Addr().Next().String()}
		for _, name := range view.HostNames() {
			place, _ := view.Host(name)
			one.Bootstrap = append(one.Bootstrap, place.CallerAddress)
		}
		out = append(out, one)
	}
	return out
}

// Version returns the version that the leader has accepted.
func (c *Cluster) Version(ctx context.Context) (uint64, error) {
	body, err := c.operator.Ask(ctx, ctrl.Request{Question: ctrl.AskTree})
	if err != nil {
		return 0, err
	}
	return body.Tree.Version, nil
}

// Stop ends every host and the stand-ins.
func (c *Cluster) Stop() {
	for _, d := range c.Daemons {
		d.Kill()
	}
	for _, d := range c.Daemons {
		_ = d.Wait()
	}
	if c.list != nil {
		_ = c.list.Close()
	}
	if c.Fleet != nil {
		c.Fleet.Stop()
	}
	if c.log != nil {
		_ = c.log.Close()
	}
}

// LogTail writes the end of the hosts' log.
func (c *Cluster) LogTail(w io.Writer) {
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
