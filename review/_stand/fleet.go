package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// Bounds of the deployment, as in the site file yildirim-popup.
const (
	contactWindow = 3 * time.Second
	configApply   = 2500 * time.Millisecond
	evacuation    = 5 * time.Second
	maxStretch    = 5 * time.Second
	graceSeconds  = 6
)

// machine is one machine of the deployment with its process.
type machine struct {
	name, role, ip, zone, region string
	settings                     string
	peerListen                   string
	process                      *os.Process
	exited                       chan struct{}
	exitState                    string
	log                          string
}

// fleet is a small deployment of the project's own programs on loopback addresses.
type fleet struct {
	record   *record
	folder   string
	program  string
	prefix   string
	zones    map[string]string
	controls []*machine
	entries  []*machine
	platform *platform

	peerPort, relayedPort, callersPort, readyPort, operatorsPort, directoryPort, metricsPort int
}

// record is the file of what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// errSetup marks failures of the case itself, after which nothing can be said of the rule.
var errSetup = errors.New("the case could not run")

func newFleet(rec *record, controlZones, entryZones []string) (*fleet, error) {
	program, err := filepath.Abs("../../target/clementinelockd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: %v", errSetup, err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record: rec, folder: folder, program: program,
		prefix: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
		zones:  map[string]string{"mar-a": "marmara", "ege-a": "ege", "akd-a": "akdeniz", "mar-b": "marmara"},
	}
	for i, zone := range controlZones {
		f.controls = append(f.controls, f.newMachine(fmt.Sprintf("core-%s-%d", zone, i+1), "control", 10+i, zone))
	}
	for i, zone := range entryZones {
		f.entries = append(f.entries, f.newMachine(fmt.Sprintf("front-%s-%d", zone, i+1), "entry", 30+i, zone))
	}
	return f, f.choosePorts()
}

func (f *fleet) newMachine(name, role string, number int, zone string) *machine {
	return &machine{name: name, role: role, ip: fmt.Sprintf("%s.%d", f.prefix, number), zone: zone, region: f.zones[zone]}
}

// choosePorts chooses ports that are free on all addresses, for TCP and UDP.
func (f *fleet) choosePorts() error {
	for _, port := range []*int{&f.peerPort, &f.relayedPort, &f.callersPort, &f.readyPort, &f.operatorsPort, &f.directoryPort, &f.metricsPort} {
		for try := 0; ; try++ {
			if try == 100 {
				return fmt.Errorf("%w: no free port", errSetup)
			}
			if *port = 12000 + rand.IntN(18000); f.isFree(*port) {
				break
			}
		}
	}
	return nil
}

func (f *fleet) isFree(port int) bool {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		address := fmt.Sprintf("%s:%d", m.ip, port)
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		udp.Close()
	}
	return true
}

// writeSettings writes the settings of a machine as deploy/settings.toml.tmpl does.
func (f *fleet) writeSettings(m *machine, founding bool) error {
	var b strings.Builder
	set := func(name, format string, args ...any) {
		b.WriteString(name + " = " + fmt.Sprintf(format, args...) + "\n")
	}
	callers, ready, operators, directory, data := "", "", "", "", ""
	if m.role == "entry" {
		callers, ready = fmt.Sprintf("%s:%d", m.ip, f.callersPort), fmt.Sprintf("%s:%d", m.ip, f.readyPort)
	} else {
		operators, directory, data = f.operators(m), fmt.Sprintf("%s:%d", m.ip, f.directoryPort), filepath.Join(f.folder, m.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
	}
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", f.operators(c)))
	}
	set("Host", "%q", m.ip)
	set("Name", "%q", m.name)
	set("Region", "%q", m.region)
	set("Zone", "%q", m.zone)
	set("PeerPort", "%d", f.peerPort)
	if m.peerListen != "" {
		set("PeerListen", "%q", m.peerListen)
	}
	set("Callers", "%q", callers)
	set("Readiness", "%q", ready)
	set("Operators", "%q", operators)
	set("Directory", "%q", directory)
	set("MetricsPort", "%d", f.metricsPort)
	set("Seeds", "[%s]", strings.Join(seeds, ", "))
	set("Founding", "%t", founding)
	set("DataFolder", "%q", data)
	set("List", "%q", f.platform.address)
	set("ListCallsPerSecond", "47.0")
	set("StopMillis", "%d000", graceSeconds)
	set("LookupSeconds", "2.0")
	b.WriteString("\n[Regions]\n")
	for zone, region := range f.zones {
		set(zone, "%q", region)
	}
	b.WriteString("\n[Bounds]\nColdOverrun = 1.5\nColdSlack = 5\nRetryRatio = 0.2\nRetrySlack = 58\nMaxShift = 0.15\n\n[QuotaBounds]\n")
	m.settings = filepath.Join(f.folder, m.name+".toml")
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

func (f *fleet) operators(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.operatorsPort)
}

func (f *fleet) callers(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.callersPort)
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine, founding bool) error {
	if err := f.writeSettings(m, founding); err != nil {
		return err
	}
	m.log = filepath.Join(f.folder, m.name+".log")
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(f.program, m.role)
	command.Env = append(os.Environ(), "CLEMENTINELOCK_CONFIG="+m.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	command.Stdout, command.Stderr = log, log
	// The process ends with this one.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.process, m.exited = command.Process, make(chan struct{})
	f.record.line("process %s (%s) started", m.name, m.role)
	exited := m.exited
	go func() {
		_ = command.Wait()
		m.exitState = command.ProcessState.String()
		f.record.line("process %s ended: %s", m.name, m.exitState)
		close(exited)
	}()
	return nil
}

// hasExited reports whether the process of a machine has ended.
func (m *machine) hasExited() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// startAll starts all machines and publishes the configuration; it returns once all entry hosts are ready.
func (f *fleet) startAll(configuration string) error {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if err := f.start(m, true); err != nil {
			return fmt.Errorf("%w: %v", errSetup, err)
		}
	}
	if !f.order("first configuration", f.controls, http.MethodPost, "/config/put", configuration, 15*time.Second) {
		return fmt.Errorf("%w: the first configuration was not acknowledged", errSetup)
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range f.entries {
			if status, _, _ := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", m.ip, f.readyPort), "", time.Second); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.entries) {
			f.record.line("all %d entry hosts are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %d of %d entry hosts are ready", errSetup, ready, len(f.entries))
		}
	}
}

// stopAll ends all processes that were started.
func (f *fleet) stopAll() {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if m.process != nil && !m.hasExited() {
			_ = m.process.Signal(syscall.SIGCONT)
			_ = m.process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// call makes one HTTP call on a connection of its own.
func (f *fleet) call(method, url, body string, timeout time.Duration) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// order gives an order as the operator does: a second for an answer, then another host, with increasing pauses.
func (f *fleet) order(name string, hosts []*machine, method, path, body string, patience time.Duration) bool {
	pause := 100 * time.Millisecond
	end := time.Now().Add(patience)
	for i := 0; time.Now().Before(end); i++ {
		host := hosts[i%len(hosts)]
		status, _, err := f.call(method, "http://"+f.operators(host)+path, body, time.Second)
		f.record.line("operator: %s (%s %s) at %s: status %d, error %v", name, method, path, host.name, status, err)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return false
}

// platform is a stand-in of the platform's list of endpoints.
type platform struct {
	address string
	mutex   sync.Mutex
	rows    [][]any
}

func newPlatform(address string) (*platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platform{address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, p) }()
	return p, nil
}

// ServeHTTP answers GET /instances.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	rows := [][]any{}
	for _, row := range p.rows {
		if zone := r.URL.Query().Get("zone"); zone == "" || zone == row[2] {
			rows = append(rows, row)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"instances": map[string]any{"columns": []string{"backend", "address", "zone", "version", "capacity", "state", "coldRemainingMs", "id"}, "rows": rows},
		"nextToken": nil,
	})
}

func (p *platform) add(e *endpoint) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rows = append(p.rows, []any{e.service, e.address, e.zone, "v1", e.slots, "ready", 0, e.id})
}

// recordPanic copies the beginning of a crash from the log of a machine.
func (f *fleet) recordPanic(m *machine) {
	data, err := os.ReadFile(m.log)
	if err != nil {
		return
	}
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			for _, each := range lines[i:min(i+24, len(lines))] {
				// Of a source file only its name is recorded.
				if each = strings.TrimSpace(each); strings.HasPrefix(each, "/") {
					each = filepath.Base(strings.Fields(each)[0])
				}
				f.record.line("log of %s: %s", m.name, each)
			}
			return
		}
	}
}
