// Package logsum sums what the proxies of a fleet wrote into their logs: counters by span of time, and lines by message.
// One proxy's counters show little where eighty do the same; their sum shows it.
package logsum

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	longestLine = 1 << 20
	mostSpans   = 100_000 // of time; a clock that jumped must not fill the memory
	mostNames   = 1_000   // of counters or messages
)

// Sum is what a folder of logs holds. Every line ends as exactly one of Counters, Said or Garbled.
type Sum struct {
	Span     time.Duration
	Files    int
	Lines    int
	Counters int // lines of counters
	Said     int // other log lines
	Garbled  map[string]int
	first    float64 // seconds, of the earliest line
	begun    bool
	by       map[string]map[int]float64 // counter or message, by span
}

// levels are counters that say how much there is, not how much there was: of these the sum is the mean over a span.
var levels = map[string]bool{"clients.open": true, "servers.open": true}

// left out: the longest of something adds up to nothing.
var passed = map[string]bool{"engine.queue_longest": true, "engine.queue_delay_ms": true, "engine.stall_ms": true,
	"discovery.version": true}

// ReadDir reads all files of a folder that end in .log, each one proxy's, and sums them by span.
func ReadDir(dir string, span time.Duration) (*Sum, error) {
	if span <= 0 {
		return nil, fmt.Errorf("span: %v is not above 0", span)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: holds no .log files", dir)
	}
	slices.Sort(files)
	s := &Sum{Span: span, Garbled: map[string]int{}, by: map[string]map[int]float64{}}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = s.read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		s.Files++
	}
	return s, nil
}

// read takes one proxy's log. A line that can't be read is counted by reason and passed over.
func (s *Sum) read(in io.Reader) error {
	r := bufio.NewReaderSize(in, longestLine)
	last := map[string]float64{}
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			s.Lines++
			s.Garbled["too long"]++
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = r.ReadSlice('\n')
			}
			line = nil
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			s.Lines++
			if why := s.line(line, last); why != "" {
				s.Garbled[why]++
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (s *Sum) line(line []byte, last map[string]float64) (garbled string) {
	at, stamped := 0.0, false
	if head, rest, ok := bytes.Cut(line, []byte(" ")); ok && line[0] != '{' { // who kept the log put its own time ahead
		seconds, err := strconv.ParseFloat(string(head), 64)
		if err != nil || !(seconds >= 0 && seconds < 1e12) {
			return "no time ahead"
		}
		at, stamped, line = seconds, true, bytes.TrimSpace(rest)
	}
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return "not JSON"
	}
	message, ok := fields["message"].(string)
	if !ok {
		return "no message"
	}
	if ms, ok := fields["time"].(float64); !stamped && ok {
		at, stamped = ms/1000, true
	}
	if !stamped {
		return "no time"
	}
	if !s.begun {
		s.begun, s.first = true, math.Floor(at)
	}
	span := math.Floor((at - s.first) / s.Span.Seconds())
	if math.Abs(span) > mostSpans {
		return "time far from the others"
	}
	if message != "counters" {
		if message == "serving" { // a new process counts from nothing
			clear(last)
		}
		s.Said++
		level, _ := fields["level"].(string)
		s.add(level+": "+message, int(span), 1)
		return ""
	}
	s.Counters++
	for part, object := range fields {
		counters, ok := object.(map[string]any)
		if !ok {
			continue
		}
		for name, value := range counters {
			n, ok := value.(float64)
			name = part + "." + name
			switch {
			case !ok || passed[name]:
			case levels[name]:
				s.add(name, int(span), n)
			default:
				s.add(name, int(span), n-last[name])
				last[name] = n
			}
		}
	}
	return ""
}

func (s *Sum) add(name string, span int, n float64) {
	row := s.by[name]
	if row == nil {
		if len(s.by) >= mostNames {
			return
		}
		row = map[int]float64{}
		s.by[name] = row
	}
	row[span] += n
}

// Of gives a counter's sums by span, for its name as "engine.gave_up_no_room" or "warn: text of a line".
func (s *Sum) Of(name string) map[int]float64 { return s.by[name] }

// Write prints a row for each counter and message that is not nothing, a column for each span that holds anything.
func (s *Sum) Write(w io.Writer, match string) error {
	spans := map[int]bool{}
	var names []string
	for name, row := range s.by {
		if !strings.Contains(name, match) {
			continue
		}
		some := false
		for span, n := range row {
			if math.Round(n) != 0 {
				spans[span], some = true, true
			}
		}
		if some {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var columns []int
	for span := range spans {
		columns = append(columns, span)
	}
	slices.Sort(columns)
	fmt.Fprintf(w, "%d files, %d lines: %d of counters, %d others", s.Files, s.Lines, s.Counters, s.Said)
	var whys []string
	for why, n := range s.Garbled {
		whys = append(whys, fmt.Sprintf("%d %s", n, why))
	}
	slices.Sort(whys)
	fmt.Fprintf(w, "; passed over: %s\n", cmp.Or(strings.Join(whys, ", "), "none"))
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(out, "seconds from\t")
	for _, span := range columns {
		fmt.Fprintf(out, "%g\t", float64(span)*s.Span.Seconds())
	}
	fmt.Fprintln(out)
	for _, name := range names {
		fmt.Fprintf(out, "%s\t", name)
		for _, span := range columns {
			fmt.Fprintf(out, "%.0f\t", s.by[name][span])
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
