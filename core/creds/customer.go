package creds

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"clementinelock/core/quota"
)

// Customer is a customer of the deployment.
type Customer struct {
	Name string
	// Priority ranks the customer's requests in place of the route's priority if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Regions lists the home regions, which alone may serve the customer; none allows all.
	Regions []string
	Quota   quota.Limit
}

// Account is a customer with its keys.
type Account struct {
	Customer
	Keys []string
}

// Digest identifies a key.
type Digest [sha256.Size]byte

// Directory finds customers by their keys and names.
type Directory struct {
	byKey  map[Digest]*Customer
	byName map[string]*Customer
}

// NewDirectory returns the directory of the accounts; it returns an error for a customer that is listed twice, has no name,
// an empty key or a negative quota, and for a key that two customers share. Errors name customers, never a key.
func NewDirectory(accounts []Account) (*Directory, error) {
	d := &Directory{byKey: map[Digest]*Customer{}, byName: map[string]*Customer{}}
	for i := range accounts {
		customer := &accounts[i].Customer
		switch {
		case customer.Name == "" || strings.ContainsFunc(customer.Name, isControl):
			return nil, fmt.Errorf("customer %d: name %q is empty or can't be sent in a header", i+1, customer.Name)
		case d.byName[customer.Name] != nil:
			return nil, fmt.Errorf("customer %q is listed twice", customer.Name)
		case !(customer.Quota.PerSecond >= 0) || !(customer.Quota.Burst >= 0):
			return nil, fmt.Errorf("customer %q: quota of %g a second with a burst of %g is below 0", customer.Name, customer.Quota.PerSecond, customer.Quota.Burst)
		}
		d.byName[customer.Name] = customer
		for _, key := range accounts[i].Keys {
			if key == "" {
				return nil, fmt.Errorf("customer %q has an empty key", customer.Name)
			}
			digest := DigestOf(key)
			if other := d.byKey[digest]; other != nil && other != customer {
				return nil, fmt.Errorf("customers %q and %q share a key", other.Name, customer.Name)
			}
			d.byKey[digest] = customer
		}
	}
	return d, nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Find returns the customer that holds the key of the digest, or nil. Digests are compared in place of keys, so that the
// time of a look-up tells nothing about them.
func (d *Directory) Find(key Digest) *Customer {
	return d.byKey[key]
}

// Named returns the customer of that name, or nil.
func (d *Directory) Named(name string) *Customer {
	return d.byName[name]
}

// Quotas returns the quotas of all customers by their names.
func (d *Directory) Quotas() map[string]quota.Limit {
	out := make(map[string]quota.Limit, len(d.byName))
	for name, customer := range d.byName {
		out[name] = customer.Quota
	}
	return out
}

// IntersectRegions returns the regions that both lists allow, where an empty list allows all; ok is false if they have none
// in common.
func IntersectRegions(a, b []string) (regions []string, ok bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	for _, region := range a {
		if slices.Contains(b, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}
