package balancer

// Mix returns the random number that follows x (splitmix64), so that one pick can
// draw several numbers without allocating a generator.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Usable reports whether the request may be sent to the target.
func (r *Request) Usable(t *Target) bool {
	if r.Allowed != nil && !r.Allowed(t.DataCentre) {
		return false
	}
	return r.Avoid == nil || !r.Avoid(t.Name)
}

// maxDraws limits the random draws before all candidates are searched in order.
// With half of the candidates usable, the search happens once in 65,536 calls.
const maxDraws = 16

// Draw returns the index of a random usable candidate. A slow one is returned only
// if there is no other. The result is false if no candidate is usable.
func (v *View) Draw(candidates []int32, r *Request, random uint64) (int, bool) {
	n := uint64(len(candidates))
	if n == 0 {
		return 0, false
	}
	for range maxDraws {
		random = Mix(random)
		i := int(candidates[random%n])
		if t := &v.Targets[i]; !t.Slow && r.Usable(t) {
			return i, true
		}
	}
	return v.firstUsable(candidates, r, random%n)
}

// firstUsable returns the first usable candidate from position start on, cyclically,
// that is not slow. If there is none, it returns a usable slow one.
func (v *View) firstUsable(candidates []int32, r *Request, start uint64) (int, bool) {
	slow, found := 0, false
	for k := range candidates {
		i := int(candidates[(start+uint64(k))%uint64(len(candidates))])
		t := &v.Targets[i]
		if !r.Usable(t) {
			continue
		}
		if !t.Slow {
			return i, true
		}
		slow, found = i, true
	}
	return slow, found
}

// DrawDistinct returns up to len(buffer) different random usable candidates in
// buffer. If all candidates fit, it returns every usable one. Slow candidates are
// omitted unless there is no other.
func (v *View) DrawDistinct(candidates []int32, r *Request, buffer []int32) []int32 {
	out := buffer[:0]
	if len(candidates) <= len(buffer) {
		for _, i := range candidates {
			if t := &v.Targets[i]; !t.Slow && r.Usable(t) {
				out = append(out, i)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	random := r.Random
	for range buffer {
		i, ok := v.Draw(candidates, r, random)
		if !ok {
			break
		}
		out = appendNew(out, int32(i))
		random = Mix(random + uint64(i) + 1)
	}
	return out
}

func appendNew(list []int32, i int32) []int32 {
	for _, x := range list {
		if x == i {
			return list
		}
	}
	return append(list, i)
}
