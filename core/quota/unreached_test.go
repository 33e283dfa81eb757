package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"clementinelock/core"
	"clementinelock/core/quota"
)

// TestRequestsWhileNoPoolAnswers guards against requests that each wait for a token until they are refused, though the host
// knows from those before that no control host answers, and against a host that does not notice that one answers again.
func TestRequestsWhileNoPoolAnswers(t *testing.T) {
	const (
		tick = 50 * core.Millisecond
		// knownAfter is the time in which each control host was asked once.
		knownAfter = 6*300*core.Millisecond + tick
		healed     = 20 * core.Second
		until      = 30 * core.Second
	)
	for _, customers := range []int{1, 40} {
		t.Run(fmt.Sprint(customers), func(t *testing.T) {
			pools := []string{"p0", "p1", "p2", "p3", "p4", "p5"}
			c := &quota.Client{Rand: rand.New(rand.NewPCG(1, 1)), Pools: func() []string { return pools }}
			begin, messages, waited, refused, granted := core.Hour, 0, 0, 0, 0
			var answers []*quota.Grant
			send := func(now core.Millis, effects *core.Effects) {
				for _, m := range effects.Sends {
					messages++
					if d := m.Message.(*quota.Draw); now-begin >= healed && d.Need+d.Extra > 0 {
						answers = append(answers, &quota.Grant{Customer: d.Customer, Number: d.Number, Count: d.Need + d.Extra})
					}
				}
			}
			for now := begin; now < begin+until; now += tick {
				out := &core.Effects{}
				for _, g := range answers {
					c.Receive(now, "p3", g, out)
				}
				answers = nil
				c.Tick(now, out)
				for customer := range customers {
					switch d := c.Take(now, fmt.Sprint("c", customer), 1, out); {
					case now-begin < knownAfter:
					case d.Result == quota.Pending && now-begin < healed:
						waited++
					case d.Result == quota.Unreached && now-begin > healed+core.Second:
						refused++
					case d.Result == quota.Granted:
						granted++
					}
				}
				send(now, out)
			}
			if waited > 0 {
				t.Errorf("%d requests wait for a token though no control host answers", waited)
			}
			if refused > 0 || granted == 0 {
				t.Errorf("%d requests are refused later than a second after a control host answers again, %d served", refused, granted)
			}
			if most := int(until/tick)*customers/4 + 200; messages > most {
				t.Errorf("%d messages were sent, at most %d expected", messages, most)
			}
		})
	}
}
