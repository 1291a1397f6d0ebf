package balancer

// Mix turns a random number into the next one (splitmix64), so that one pick can
// draw several times without a generator on the heap.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Usable reports whether the request may go to the target.
func (r *Request) Usable(t *Target) bool {
	if r.Allowed != nil && !r.Allowed(t.DataCentre) {
		return false
	}
	return r.Avoid == nil || !r.Avoid(t.Name)
}

// maxDraws bounds the random draws before all members are searched. With half
// of the members usable, the search happens once in 65,536 draws.
const maxDraws = 16

// Draw returns a random usable member, slow ones only if there is no other.
func (v *View) Draw(members []int32, r *Request, random uint64) (int, bool) {
	n := uint64(len(members))
	if n == 0 {
		return 0, false
	}
	for range maxDraws {
		random = Mix(random)
		i := int(members[random%n])
		if t := &v.Targets[i]; !t.Slow && r.Usable(t) {
			return i, true
		}
	}
	return v.search(members, r, random%n)
}

func (v *View) search(members []int32, r *Request, start uint64) (int, bool) {
	slow, found := 0, false
	for k := range members {
		i := int(members[(start+uint64(k))%uint64(len(members))])
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

// Choices returns up to len(into) different random usable members, and all
// usable ones of a small group. Slow ones are left out unless there is no other.
func (v *View) Choices(members []int32, r *Request, into []int32) []int32 {
	out := into[:0]
	if len(members) <= len(into) {
		for _, i := range members {
			if t := &v.Targets[i]; !t.Slow && r.Usable(t) {
				out = append(out, i)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	random := r.Random
	for range into {
		i, ok := v.Draw(members, r, random)
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
