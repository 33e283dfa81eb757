package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/io/config"
	"clementinelock/io/deploy"
	"clementinelock/io/shell"
)

// cluster runs nine hosts on loopback, each in a process of its own.
type cluster struct {
	t      *testing.T
	binary string
	// otherBinary is the path of another build, from SOAK_OTHER; each start of a host picks one of the two at random.
	otherBinary string
	rng         *rand.Rand
	hosts       map[string]deploy.Host
	running     map[string]*exec.Cmd
	flags       []string
}

const treeFile = "testdata/tree.toml"

func newCluster(t *testing.T) *cluster {
	t.Helper()
	folder := t.TempDir()
	c := &cluster{t: t, binary: filepath.Join(folder, "clementinelockd"), hosts: map[string]deploy.Host{}, running: map[string]*exec.Cmd{}}
	// Without SOAK_SEED the seed is 0.
	seed, _ := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	c.otherBinary, c.rng = os.Getenv("SOAK_OTHER"), rand.New(rand.NewPCG(seed, 11))
	if out, err := exec.Command("go", "build", "-o", c.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	tree, err := config.ReadTree(treeFile)
	if err != nil {
		t.Fatal(err)
	}
	d := &deploy.Deployment{Folder: filepath.Join(folder, "hosts"), Tree: tree, Validity: time.Hour, StopWithin: 10 * core.Second}
	hosts, err := d.Write()
	if err != nil {
		t.Fatal(err)
	}
	var addresses []string
	for _, host := range hosts {
		c.hosts[host.Name] = host
		addresses = append(addresses, host.Settings.OperatorAddress)
		c.start(host.Name)
	}
	for _, host := range hosts {
		c.awaitStarted(host.Name)
	}
	keys := d.OperatorKeys()
	c.flags = []string{"--hosts", strings.Join(addresses, ","), "--certificate", keys.Certificate, "--key", keys.Key, "--authority", keys.Authority}
	t.Cleanup(func() {
		for name := range c.running {
			c.kill(name)
		}
	})
	return c
}

// chooseBinary returns the path of the binary for the next start of a host.
func (c *cluster) chooseBinary() string {
	if c.otherBinary != "" && c.rng.IntN(2) == 0 {
		return c.otherBinary
	}
	return c.binary
}

func (c *cluster) start(name string) {
	command := exec.Command(c.chooseBinary(), "run", "--settings", c.hosts[name].File)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.running[name] = command
}

func (c *cluster) kill(name string) {
	_ = c.running[name].Process.Signal(syscall.SIGKILL)
	_ = c.running[name].Wait()
	delete(c.running, name)
}

// awaitStarted waits until a host takes operators' connections; before that, SIGTERM may end the process at once.
func (c *cluster) awaitStarted(name string) {
	c.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		connection, err := net.Dial("tcp", c.hosts[name].Settings.OperatorAddress)
		if err == nil {
			_ = connection.Close()
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("host %s has not started: %v", name, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runVerb runs a verb, and retries it while the cluster can't be reached, as an operator would.
func (c *cluster) runVerb(verb string, args ...string) string {
	c.t.Helper()
	var out bytes.Buffer
	for range 10 {
		out.Reset()
		line := append(append([]string{verb}, c.flags...), args...)
		code := shell.Main(context.Background(), line, &out, &out)
		if code == shell.ExitOK {
			return out.String()
		}
		if code != shell.ExitUnreachable {
			break
		}
	}
	c.t.Fatalf("%s %v: %s", verb, args, out.String())
	return ""
}

// TestNothingAcknowledgedIsLost guards against acknowledged edits that are lost or applied twice when the leader is
// killed. It kills the leader before each edit, restarts it afterwards, and counts the edits in the history at the
// end.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	c := newCluster(t)
	c.runVerb("apply", treeFile)
	const rounds = 5
	for i := range rounds {
		status := c.runVerb("members")
		leader, _, _ := strings.Cut(strings.TrimPrefix(status, "leader "), ",")
		c.kill(leader)
		c.runVerb("set", "--edit-id", "edit-"+strconv.Itoa(i), "/", fmt.Sprintf("QueueLimit=%d", 100+i))
		c.start(leader)
	}
	history := c.runVerb("history")
	for i := range rounds {
		if count := strings.Count(history, fmt.Sprintf("edit edit-%d\n", i)); count != 1 {
			t.Fatalf("edit %d is in the history %d times, expected once:\n%s", i, count, history)
		}
	}
	c.runVerb("watch")
	for name := range c.hosts {
		c.awaitStarted(name)
		host := c.running[name]
		_ = host.Process.Signal(syscall.SIGTERM)
		if err := host.Wait(); err != nil {
			t.Fatalf("host %s did not exit cleanly after SIGTERM: %v", name, err)
		}
		delete(c.running, name)
	}
}
