package deploy

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"clementinelock/core"
	"clementinelock/core/tree"
	"clementinelock/io/certs"
	"clementinelock/io/config"
	"clementinelock/io/disk"

	"github.com/pelletier/go-toml/v2"
)

const (
	folderMode   = 0o700
	fileMode     = 0o600
	operatorPort = 8081
	statusPort   = 8082
	// OperatorName is the name in the operator's certificate that a deployment includes.
	OperatorName = "operator"
	keysFolder   = "keys"
	dataFolder   = "data"
)

// Deployment describes a cluster's files in one folder. Set the exported fields before Write.
type Deployment struct {
	Folder string
	Tree   *tree.Tree
	// Control lists the hosts with the control role; if it is empty, the first host of each region has it.
	Control []string
	// Feed is the file path or http:// URL of the platform's list of endpoints.
	Feed string
	// Validity is how long the certificates are valid.
	Validity time.Duration
	// StopWithin bounds the duration of a host's planned stop.
	StopWithin core.Millis
}

// Host is one host of a deployment with its settings file.
type Host struct {
	Name     string
	File     string
	Settings config.Settings
}

// Write writes the authority, the certificates, the settings files and the control hosts' data folders.
func (d *Deployment) Write() ([]Host, error) {
	view := tree.NewView(d.Tree)
	if len(d.Control) == 0 {
		d.Control = firstOfEachRegion(view)
	}
	keys := filepath.Join(d.Folder, keysFolder)
	if err := certs.MakeAuthority(keys, "clementinelock"); err != nil {
		return nil, err
	}
	if err := certs.Issue(keys, OperatorName, certs.Operators, nil, d.Validity); err != nil {
		return nil, err
	}
	var hosts []Host
	for _, name := range view.HostNames() {
		place, _ := view.Host(name)
		host, err := d.writeHost(view, keys, place)
		if err != nil {
			return nil, fmt.Errorf("host %q: %w", name, err)
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

func firstOfEachRegion(view *tree.View) []string {
	var out []string
	for _, region := range view.Regions {
		if hosts := view.RegionHosts(region.Name); len(hosts) > 0 {
			out = append(out, hosts[0])
		}
	}
	return out
}

func (d *Deployment) writeHost(view *tree.View, keys string, place tree.HostPlace) (Host, error) {
	ip, _, err := net.SplitHostPort(place.CallerAddress)
	if err != nil {
		return Host{}, err
	}
	if err := certs.Issue(keys, place.Name, certs.Hosts, []net.IP{net.ParseIP(ip)}, d.Validity); err != nil {
		return Host{}, err
	}
	s := d.settings(view, place, ip)
	file := filepath.Join(d.Folder, place.Name+".toml")
	var data bytes.Buffer
	if err := toml.NewEncoder(&data).Encode(s); err != nil {
		return Host{}, err
	}
	if err := os.WriteFile(file, data.Bytes(), fileMode); err != nil {
		return Host{}, err
	}
	read, err := config.ReadSettings(file)
	if err != nil {
		return Host{}, err
	}
	if read.IsControl() {
		if err := disk.Initialise(read.DataFolder); err != nil {
			return Host{}, err
		}
	}
	return Host{Name: place.Name, File: file, Settings: read}, nil
}

func (d *Deployment) settings(view *tree.View, place tree.HostPlace, ip string) config.Settings {
	s := config.Settings{
		Host: place.Name, Region: place.Region, Zone: place.Zone, Roles: d.roles(place.Name),
		CallerAddress: place.CallerAddress, PeerAddress: place.PeerAddress,
		OperatorAddress: address(ip, operatorPort), StatusAddress: address(ip, statusPort),
		Feed: d.Feed, FeedEvery: core.Second, StopWithin: d.StopWithin, LogLevel: "info",
		Keys: config.Keys{
			Certificate: filepath.Join(keysFolder, place.Name+".crt"), Key: filepath.Join(keysFolder, place.Name+".key"),
			Authority: filepath.Join(keysFolder, certs.AuthorityFile),
		},
	}
	if s.IsControl() {
		s.DataFolder = filepath.Join(dataFolder, place.Name)
	}
	for _, name := range view.HostNames() {
		peer, _ := view.Host(name)
		s.Peers = append(s.Peers, config.Peer{Name: name, Region: peer.Region, Zone: peer.Zone, Address: peer.PeerAddress, Roles: d.roles(name)})
	}
	return s
}

func (d *Deployment) roles(name string) []string {
	if slices.Contains(d.Control, name) {
		return []string{config.EntryRole, config.ControlRole}
	}
	return []string{config.EntryRole}
}

func address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, port)
}

// OperatorKeys returns the paths of the operator's certificate and key and of the authority.
func (d *Deployment) OperatorKeys() certs.Files {
	keys := filepath.Join(d.Folder, keysFolder)
	return certs.Files{
		Certificate: filepath.Join(keys, OperatorName+".crt"), Key: filepath.Join(keys, OperatorName+".key"),
		Authority: filepath.Join(keys, certs.AuthorityFile),
	}
}
