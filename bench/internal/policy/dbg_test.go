package policy
import ("testing";"fmt";"time")
func TestDbg(t *testing.T) {
	for _, s := range scenarios() {
		if s.name != "three zones, uneven, 12 routers, plain calls" { continue }
		p := s.plan
		f := newFleet(p, 1)
		n, held, lent, own, away, foreignCnt, borrowed, limit := 0,0,0,0,0,0,0,0
		f.after(60*time.Second, func(){ f.every(7*time.Millisecond, func() bool {
			n++
			for _, z := range f.zones {
				st := z.pool.Stats(f.now)
				held += st.Held; lent += st.Lent; borrowed += st.Borrowed
				for _, e := range st.Endpoints { foreignCnt += e.Foreign; limit += e.Limit }
				for _, e := range z.engines { for _, j := range e.batch { if j.router.zone == z { own++ } else { away++ } } }
			}
			return true }) })
		f.until(f.now.Add(90*time.Second))
		c := func(x int) float64 { return float64(x)/float64(n) }
		fmt.Printf("limit %.2f held %.2f lent %.2f borrowed %.2f own %.2f away %.2f foreign %.2f loans %d\n", c(limit), c(held), c(lent), c(borrowed), c(own), c(away), c(foreignCnt), 0)
		for i, n := range f.names { fmt.Println(n, f.weights[i], f.served[i]) }
	}
}
