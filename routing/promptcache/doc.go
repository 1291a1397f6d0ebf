// Package promptcache weighs, for each request, what is saved if a target still holds
// the beginning of its prompt against the longer wait there. It has no I/O and reads no
// clock.
//
// The load that it answers: many prompts begin with the same long parts. A target that
// holds such a part need not read it again, but its memory is limited, and if all requests
// with a popular part went there, they would wait for longer than the reading takes.
//
// What a target holds is not known: it is estimated from the requests that this instance
// has sent there, their age, and the tokens that the target has read since. A target that
// has started again holds nothing.
package promptcache
