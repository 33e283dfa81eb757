package tree

import (
	"fmt"
	"slices"
)

// Check returns an error if a setting is not valid or if two nodes conflict.
func Check(t *Tree) error {
	for _, path := range t.Paths() {
		for name, text := range t.Nodes[path] {
			row, err := FindSetting(name)
			if err != nil {
				return fmt.Errorf("at %q: %w", path, err)
			}
			if err := row.Check(path, text); err != nil {
				return err
			}
		}
	}
	view := NewView(t)
	if err := checkNames(view); err != nil {
		return err
	}
	return checkEndpoints(view)
}

func checkNames(view *View) error {
	regionOf := map[string]string{}
	zoneOf := map[string]string{}
	hostByAddress := map[string]string{}
	for _, zone := range view.Zones {
		if other, ok := regionOf[zone.Name]; ok {
			return fmt.Errorf("availability zone %q stands in both region %q and region %q", zone.Name, other, zone.Region)
		}
		regionOf[zone.Name] = zone.Region
		for _, host := range zone.Hosts {
			if other, ok := zoneOf[host.Name]; ok {
				return fmt.Errorf("host %q stands in both zone %q and zone %q", host.Name, other, zone.Name)
			}
			zoneOf[host.Name] = zone.Name
			for _, a := range []string{"caller " + host.CallerAddress, "peer " + host.PeerAddress} {
				if other, ok := hostByAddress[a]; ok {
					return fmt.Errorf("hosts %q and %q share the %s address", other, host.Name, a)
				}
				hostByAddress[a] = host.Name
			}
		}
	}
	return nil
}

func checkEndpoints(view *View) error {
	owner := map[string]string{}
	for _, zone := range view.Zones {
		for _, service := range view.Services {
			settings := view.Service(zone.Name, service)
			place := zone.Name + ":" + service
			for _, endpoint := range settings.Endpoints {
				if other, ok := owner[endpoint]; ok {
					return fmt.Errorf("endpoint %q belongs to both %s and %s", endpoint, other, place)
				}
				owner[endpoint] = place
			}
			if settings.DefaultDeadline > settings.MaxDeadline {
				return fmt.Errorf("%s: DefaultDeadline %s is longer than MaxDeadline %s", place, settings.DefaultDeadline, settings.MaxDeadline)
			}
		}
	}
	return nil
}

// Danger returns the reason why an edit needs an override, or the empty string.
func Danger(old, next *View) string {
	for _, service := range old.Services {
		if usableSlots(old, service) > 0 && usableSlots(next, service) == 0 {
			return fmt.Sprintf("service %q would be left with no upstream", service)
		}
	}
	return ""
}

func usableSlots(view *View, service string) int {
	slots := 0
	for _, zone := range view.Zones {
		settings := view.Service(zone.Name, service)
		if settings == nil || settings.Drained {
			continue
		}
		for _, endpoint := range settings.Endpoints {
			if !slices.Contains(settings.Leaving, endpoint) {
				slots += settings.Slots
			}
		}
	}
	return slots
}
