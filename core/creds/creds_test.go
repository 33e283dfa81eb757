package creds_test

import (
	"errors"
	"strings"
	"testing"

	"clementinelock/core/creds"
	"clementinelock/core/quota"
)

func account(name string, keys ...string) creds.Account {
	return creds.Account{Customer: creds.Customer{Name: name}, Keys: keys}
}

// TestFind guards against a key that names another customer than the one that holds it.
func TestFind(t *testing.T) {
	d, err := creds.NewDirectory([]creds.Account{account("a", "k1", "k2", "k1"), account("b", "K1"), account("c")})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k1": "a", "k2": "a", "K1": "b", "k3": "", "": "", "c": ""} {
		got := ""
		if found := d.Find(creds.DigestOf(key)); found != nil {
			got = found.Name
		}
		if got != want {
			t.Errorf("key %q belongs to customer %q, expected %q", key, got, want)
		}
	}
	if d.Named("c") == nil || d.Named("d") != nil {
		t.Error("customers are not found by their names")
	}
	if quotas := d.Quotas(); len(quotas) != 3 {
		t.Errorf("there are %d quotas, expected 3", len(quotas))
	}
}

// TestInvalidAccounts guards against configurations by which a request could belong to two customers, and against errors that
// contain a key.
func TestInvalidAccounts(t *testing.T) {
	negative := account("a", "secret")
	negative.Quota = quota.Limit{PerSecond: -1}
	cases := map[string][]creds.Account{
		"shared key":     {account("a", "secret"), account("b", "other", "secret")},
		"listed twice":   {account("a", "secret"), account("a", "other")},
		"no name":        {account("", "secret")},
		"line break":     {account("a\r\nb", "secret")},
		"empty key":      {account("a", "secret", "")},
		"negative quota": {negative},
	}
	for name, accounts := range cases {
		_, err := creds.NewDirectory(accounts)
		switch {
		case err == nil:
			t.Errorf("%s: accounts were accepted", name)
		case strings.Contains(err.Error(), "secret"):
			t.Errorf("%s: the error contains a key: %v", name, err)
		}
	}
}

// TestParseBearer guards against credentials that are read as another key than the caller sent, and errors that contain one.
func TestParseBearer(t *testing.T) {
	for _, values := range [][]string{{"Bearer secret"}, {"bearer secret"}, {"BEARER  secret"}, {" Bearer secret "}} {
		if got, err := creds.ParseBearer(values); err != nil || got != creds.DigestOf("secret") {
			t.Errorf("%q: got another key or the error %v", values, err)
		}
	}
	if _, err := creds.ParseBearer(nil); !errors.Is(err, creds.ErrNoKey) {
		t.Errorf("without a header the error is %v", err)
	}
	for _, values := range [][]string{
		{""},
		{"Bearer"},
		{"Bearer "},
		{"secret"},
		{"Basic secret"},
		{"Bearersecret"},
		{"Bearer secret secret"},
		{"Bearer secret,secret"},
		{"Bearer secret", "Bearer secret"},
		{"Bearer " + strings.Repeat("secret", 1000)},
	} {
		_, err := creds.ParseBearer(values)
		switch {
		case err == nil:
			t.Errorf("%.40q: credentials were accepted", values)
		case strings.Contains(err.Error(), "secret"):
			t.Errorf("%.40q: the error contains the key: %v", values, err)
		}
	}
}

// FuzzParseBearer checks that whatever callers send is read as one key without blanks, or rejected.
func FuzzParseBearer(f *testing.F) {
	f.Add("Bearer key", "")
	f.Add("bearer  a b", "Bearer c")
	f.Fuzz(func(t *testing.T, first, second string) {
		values := []string{first}
		if second != "" {
			values = append(values, second)
		}
		digest, err := creds.ParseBearer(values)
		if err != nil {
			return
		}
		fields := strings.Fields(first)
		if len(values) != 1 || len(fields) != 2 || !strings.EqualFold(fields[0], "Bearer") || digest != creds.DigestOf(fields[1]) {
			t.Fatalf("%q is read as a key", values)
		}
	})
}

// TestIntersectRegions guards against a request that leaves the regions of its route or of its customer.
func TestIntersectRegions(t *testing.T) {
	cases := []struct {
		a, b []string
		want string
		ok   bool
	}{
		{nil, nil, "", true},
		{[]string{"x"}, nil, "x", true},
		{nil, []string{"y"}, "y", true},
		{[]string{"x", "y"}, []string{"y", "z"}, "y", true},
		{[]string{"x"}, []string{"y"}, "", false},
	}
	for _, c := range cases {
		got, ok := creds.IntersectRegions(c.a, c.b)
		if strings.Join(got, ",") != c.want || ok != c.ok {
			t.Errorf("%v and %v have %v in common (%t), expected %q (%t)", c.a, c.b, got, ok, c.want, c.ok)
		}
	}
}
