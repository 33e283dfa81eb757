package main

import (
	"bytes"
	"encoding/json"
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

// program is where the build line of the deploy file puts the project's program.
const program = "target/clementinelockd"

// Ports of all hosts, as in the examples of the pages.
const (
	callersPort   = 8641
	readyPort     = 8640
	operatorsPort = 8649
	directoryPort = 8650
	peerPort      = 7620
	metricsPort   = 9464
	listPort      = 8642
	endpointPort  = 8080
)

// zones lists the availability zones, each with its region.
var zones = [][2]string{{"lisboa-a", "lisboa"}, {"porto-a", "porto"}, {"faro-a", "faro"}, {"lisboa-b", "lisboa"}, {"porto-b", "porto"}, {"faro-b", "faro"}}

// process is one process of the project.
type process struct {
	name, role, ip, zone, region string
	file                         string
	command                      *exec.Cmd
	ended                        chan struct{}
}

// fleet is a deployment with its stand-ins.
type fleet struct {
	record  *record
	trouble bool

	mutex     sync.Mutex
	folder    string
	network   int
	controls  []*process
	entries   []*process
	endpoints []*endpoint
	founding  bool
	closers   []func()
	// services and routes are the configuration; idle is its limit of idle time.
	services []string
	routes   []map[string]any
	host     string
}

// address returns a loopback address of this run: kind separates hosts, endpoints and the list.
func (f *fleet) address(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, kind, number+1)
}

// start starts the list, the endpoints that were added before, and the hosts, and waits until a configuration is in force.
func (f *fleet) start(controls, entries int) {
	var err error
	f.folder, err = os.MkdirTemp("", "third-")
	must(err)
	f.closers = append(f.closers, func() { _ = os.RemoveAll(f.folder) })
	f.serveList()
	f.founding = true
	for i := range controls {
		f.controls = append(f.controls, f.newProcess("control", "core", i, i))
	}
	for i := range entries {
		f.entries = append(f.entries, f.newProcess("entry", "front", controls+i, i))
	}
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		f.run(p)
	}
	f.founding = false
}

// choose selects a free part of the loopback network.
func (f *fleet) choose() {
	for i := range 60 {
		f.network = 64 + (os.Getpid()+i)%120
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.address(9, 0), listPort))
		if err == nil {
			_ = listener.Close()
			return
		}
	}
	panic("no free addresses")
}

func (f *fleet) newProcess(verb, class string, number, index int) *process {
	zone := zones[index%len(zones)]
	name := fmt.Sprintf("%s-%s-%d", class, zone[0], index/len(zones)+1)
	return &process{name: name, role: verb, ip: f.address(1, number), zone: zone[0], region: zone[1], file: filepath.Join(f.folder, name+".toml")}
}

// settings returns the settings of a process by the template of the deploy file, with the figures of a small deployment.
func (f *fleet) settings(p *process) string {
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	line("Host = %q\nName = %q\nRegion = %q\nZone = %q\nPeerPort = %d", p.ip, p.name, p.region, p.zone, peerPort)
	if p.role == "entry" {
		line("Callers = %q\nReadiness = %q\nOperators = \"\"\nDirectory = \"\"\nDataFolder = \"\"", at(callersPort), at(readyPort))
		line("MemoryMegabytes = 284\nMaxDescriptors = 4100")
	} else {
		folder := filepath.Join(f.folder, p.name)
		must(os.MkdirAll(folder, 0o700))
		line("Callers = \"\"\nReadiness = \"\"\nOperators = %q\nDirectory = %q\nDataFolder = %q", at(operatorsPort), at(directoryPort), folder)
		line("MemoryMegabytes = 280\nMaxDescriptors = 4096")
	}
	var seeds []string
	for i := range min(3, len(f.controls)) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.controls[i].ip, operatorsPort)))
	}
	line("MetricsPort = %d\nSeeds = [%s]\nFounding = %t", metricsPort, strings.Join(seeds, ","), f.founding)
	line("List = \"%s:%d\"\nListCallsPerSecond = 47.0\nStopMillis = 6000\nLookupSeconds = 2.0", f.address(9, 0), listPort)
	line("[Regions]")
	for _, each := range zones {
		line("%s = %q", each[0], each[1])
	}
	line("[Bounds]\nColdOverrun = 1.5\nColdSlack = 5\nRetryRatio = 0.2\nRetrySlack = 58\nMaxShift = 0.15")
	line("[QuotaBounds]")
	return b.String()
}

// run starts a process.
func (f *fleet) run(p *process) {
	must(os.WriteFile(p.file, []byte(f.settings(p)), 0o600))
	out, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	p.command = exec.Command(program, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "CLEMENTINELOCK_CONFIG=" + p.file, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	p.command.Stdout, p.command.Stderr = out, out
	must(p.command.Start())
	ended := make(chan struct{})
	p.ended = ended
	go func(command *exec.Cmd) {
		_ = command.Wait()
		_ = out.Close()
		close(ended)
	}(p.command)
	f.record.logf("started %s at %s", p.name, p.ip)
}

// isUp reports whether the process runs.
func (p *process) isUp() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.command != nil && p.isUp() {
		_ = p.command.Process.Signal(s)
	}
}

// stop ends all processes and stand-ins.
func (f *fleet) stop() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		if p.command == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		_ = os.CopyFS(folder, os.DirFS(f.folder))
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
	f.closers = nil
}

// serveList serves the platform's list of endpoints.
func (f *fleet) serveList() {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.address(9, 0), listPort))
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		rows := [][]any{}
		for _, e := range f.endpoints {
			rows = append(rows, []any{e.service, e.address, e.zone, "v1", e.slots, "ready", 0, e.id})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": map[string]any{
			"columns": []string{"backend", "address", "zone", "version", "capacity", "state", "coldRemainingMs", "id"}, "rows": rows,
		}, "nextToken": nil})
	})}
	go func() { _ = server.Serve(listener) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
}

// configuration returns the configuration under a version.
func (f *fleet) configuration(version int) []byte {
	services := []map[string]any{}
	for _, name := range f.services {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 5.7})
	}
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": services,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"virtualHosts": []map[string]any{{"hostname": f.host, "paths": f.routes}},
	})
	must(err)
	return text
}

var operatorClient = &http.Client{Timeout: 1500 * time.Millisecond}

// order sends an operator's call to one control host after another until one confirms it.
func (f *fleet) order(method, path string, body []byte, within time.Duration) (text string, ok bool) {
	end := time.Now().Add(within)
	for try := 0; time.Now().Before(end); try++ {
		p := f.controls[try%len(f.controls)]
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, operatorsPort, path), bytes.NewReader(body))
		must(err)
		response, err := operatorClient.Do(request)
		if err == nil {
			data, readErr := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if readErr == nil && response.StatusCode == http.StatusOK {
				return string(data), true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", false
}

// awaitReady waits until all entry hosts are ready and serve the path.
func (f *fleet) awaitReady(path string, within time.Duration) {
	end := time.Now().Add(within)
	for _, p := range f.entries {
		for {
			a := f.call(p, "GET", path, nil, 2*time.Second)
			if a.status == http.StatusOK && a.whole {
				break
			}
			if time.Now().After(end) {
				panic(fmt.Sprintf("%s does not serve: status %d", p.name, a.status))
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	f.record.logf("all %d entry hosts serve", len(f.entries))
}

// inFlight returns how many requests a host says that it has in flight, -1 if it does not answer.
func (f *fleet) inFlight(p *process) int {
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/dump", p.ip, metricsPort))
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	var dump struct{ Requests int }
	if json.NewDecoder(response.Body).Decode(&dump) != nil {
		return -1
	}
	return dump.Requests
}
