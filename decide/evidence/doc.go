// Package evidence keeps statistics on pushes and client tries: how much a push without an answer says about a
// server, which try has no chance of an answer in time, and how many client retries are admitted. It only measures;
// decisions are the caller's. Durations may be in any unit, as long as all those given to one value share it. The
// package reads no clock, draws no random numbers and keeps none of its arguments.
package evidence
