package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all hosts of a run.
const (
	peerPort     = 7620
	callerPort   = 8641
	readyPort    = 8640
	operatorPort = 8649
	lookupPort   = 8650
	listPort     = 8642
	endpointPort = 8080
)

// graceSeconds is graceS of the small deployment.
const graceSeconds = 6

// zones lists the availability zones with their regions.
var zones = [][2]string{{"mar-a", "marmara"}, {"ege-a", "ege"}, {"akd-a", "akdeniz"}, {"mar-b", "marmara"}, {"ege-b", "ege"}, {"akd-b", "akdeniz"}}

// record writes what was sent, answered and run to record.txt.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// logf writes one line with the time since the start in seconds.
func (r *record) logf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
}

// process is one of the project's programs.
type process struct {
	role    string
	ip      string
	zone    int
	folder  string
	config  string
	command *exec.Cmd
	exited  chan struct{}
	// stopped is set once the run itself ends the process.
	stopped bool
}

// fleet is a small deployment with stand-ins of the platform and of endpoints in this process.
type fleet struct {
	record    *record
	root      string
	binary    string
	network   string
	controls  []*process
	entries   []*process
	mutex     sync.Mutex
	endpoints []*endpoint
	seeds     []string
	founding  bool
	listBytes func() []byte
	unplanned []string
}

// newFleet prepares a deployment on unused addresses of the loopback network.
func newFleet(r *record) (*fleet, error) {
	root, err := os.MkdirTemp("", "clementinelock-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, root: root, binary: "target/clementinelockd", founding: true}
	for i := range 200 {
		f.network = fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+i)%128, (os.Getpid()/128+i)%256)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", f.network, listPort))
		if err == nil {
			go f.serveList(listener)
			return f, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// address returns an address of this run.
func (f *fleet) address(number int) string {
	return fmt.Sprintf("%s.%d", f.network, number)
}

// start starts control hosts and entry hosts, spread over the zones.
func (f *fleet) start(controls, entries int) error {
	for i := range min(3, controls) {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", f.address(1+i), operatorPort))
	}
	for i := range controls {
		f.controls = append(f.controls, &process{role: "control", ip: f.address(1 + i), zone: i % len(zones)})
	}
	for i := range entries {
		f.entries = append(f.entries, &process{role: "entry", ip: f.address(100 + i), zone: i % len(zones)})
	}
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		p.folder = filepath.Join(f.root, p.ip)
		if err := os.MkdirAll(p.folder, 0o700); err != nil {
			return err
		}
		if err := f.launch(p); err != nil {
			return err
		}
	}
	f.founding = false
	return nil
}

// settings returns the settings file of a process, with the keys of deploy/settings.toml.tmpl.
func (f *fleet) settings(p *process) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("Host = %q\nName = %q\nRegion = %q\nZone = %q\nPeerPort = %d", p.ip, p.role+"-"+p.ip, zones[p.zone][1], zones[p.zone][0], peerPort)
	if p.role == "entry" {
		line("Callers = \"%s:%d\"\nReadiness = \"%s:%d\"\nDataFolder = \"\"\nMemoryMegabytes = 284\nMaxDescriptors = 4100", p.ip, callerPort, p.ip, readyPort)
	} else {
		line("Operators = \"%s:%d\"\nDirectory = \"%s:%d\"\nDataFolder = %q\nMemoryMegabytes = 280\nMaxDescriptors = 4096", p.ip, operatorPort, p.ip, lookupPort, p.folder)
	}
	line("MetricsPort = 9464\nSeeds = [\"%s\"]\nFounding = %t", strings.Join(f.seeds, `", "`), f.founding)
	line("List = \"%s:%d\"\nListCallsPerSecond = 47.0\nStopMillis = %d000\nLookupSeconds = 2.0", f.address(250), listPort, graceSeconds)
	line("\n[Regions]")
	for _, zone := range zones {
		line("%s = %q", zone[0], zone[1])
	}
	line("\n[Bounds]\nColdOverrun = 1.5\nColdSlack = 5\nRetryRatio = 0.2\nRetrySlack = 58\nMaxShift = 0.15\n\n[QuotaBounds]")
	return b.String()
}

// launch starts a process by the command of the deploy file.
func (f *fleet) launch(p *process) error {
	p.config = filepath.Join(f.root, p.ip+".toml")
	if err := os.WriteFile(p.config, []byte(f.settings(p)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.root, p.ip+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(f.binary, p.role)
	p.command.Env = append(os.Environ(), "CLEMENTINELOCK_CONFIG="+p.config, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited, p.stopped = make(chan struct{}), false
	f.record.logf("started %s %s", p.role, p.ip)
	go func(command *exec.Cmd, exited chan struct{}) {
		err := command.Wait()
		f.mutex.Lock()
		if !p.stopped {
			f.unplanned = append(f.unplanned, fmt.Sprintf("%s %s: %v", p.role, p.ip, err))
			f.record.logf("%s %s ended by itself: %v", p.role, p.ip, err)
		}
		f.mutex.Unlock()
		close(exited)
		_ = log.Close()
	}(p.command, p.exited)
	return nil
}

// signal sends a signal to a process of this run.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.mutex.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopped = true
	}
	f.mutex.Unlock()
	_ = p.command.Process.Signal(s)
	f.record.logf("%s to %s %s", s, p.role, p.ip)
}

// endedByThemselves lists the processes that ended without a signal of this run.
func (f *fleet) endedByThemselves() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.unplanned...)
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		f.mutex.Lock()
		p.stopped = true
		f.mutex.Unlock()
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.root)
	} else {
		fmt.Println("logs are kept in", f.root)
	}
}

// serveList answers the platform's list of endpoints.
func (f *fleet) serveList(listener net.Listener) {
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		rows := [][]any{}
		f.mutex.Lock()
		for _, e := range f.endpoints {
			if !e.unlisted {
				rows = append(rows, []any{e.service, e.address, e.zone, "v1", e.slots, "ready", 0, e.id})
			}
		}
		f.mutex.Unlock()
		columns := []string{"backend", "address", "zone", "version", "capacity", "state", "coldRemainingMs", "id"}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": map[string]any{"columns": columns, "rows": rows}, "nextToken": nil})
	})}
	_ = server.Serve(listener)
}

// operate sends an order to control hosts in turn until one acknowledges it; it returns an error after the time is over.
func (f *fleet) operate(path string, body []byte, within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := errors.New("not sent")
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		p := f.controls[i%len(f.controls)]
		response, err := client.Post(fmt.Sprintf("http://%s:%d%s", p.ip, operatorPort, path), "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
			f.record.logf("operator: %s at %s answered %d", path, p.ip, response.StatusCode)
			if response.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// read reads the configuration back from one control host.
func (f *fleet) read(p *process) (status int, text string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/config/get", p.ip, operatorPort))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// awaitReady waits until all entry hosts say that they are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range f.entries {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", p.ip, readyPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.entries) {
			f.record.logf("all %d entry hosts are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d entry hosts are ready", ready, len(f.entries))
		}
	}
}

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, attempts         int
}

const hostName = "hulo84.example"

// configuration returns a configuration in the form of the operator's API.
func configuration(version int, services []string, routes []route) []byte {
	var list, paths []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 5.2})
	}
	for _, r := range routes {
		paths = append(paths, map[string]any{
			"name": r.name, "pathPrefix": r.prefix, "type": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": 600, "priority": 2,
			"backend": r.service, "maxAttempts": r.attempts, "sessionAffinity": false, "allowedRegions": []string{},
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": list,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"virtualHosts": []map[string]any{{"hostname": hostName, "paths": paths}},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// post sends an order once and returns the status, 0 without an answer.
func post(url string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
