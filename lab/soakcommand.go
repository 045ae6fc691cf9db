package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/lab/soak"
)

// firstNetwork and networkCount are the range of the second byte of the loopback
// addresses. Each concurrent soak run uses a value of its own.
const (
	firstNetwork = 40
	networkCount = 80
)

// soakOptions are the options of the command.
type soakOptions struct {
	soak.Options
	firstSeed uint64
	seedCount int
	jobs      int
	corpus    string
	trace     bool
}

func soakCommand() *cobra.Command {
	var o soakOptions
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run gypsumflowd as processes under random faults; fails if a promise is broken",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return o.run(cmd.OutOrStdout()) },
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Daemon, "daemon", "bin/gypsumflowd", "path of gypsumflowd")
	flags.Uint64Var(&o.firstSeed, "first", 1, "first seed")
	flags.IntVar(&o.seedCount, "seeds", 10, "number of seeds")
	flags.IntVar(&o.jobs, "jobs", 2, "fleets at a time, of 6 processes each")
	flags.DurationVar(&o.Duration, "duration", 10*time.Second, "time of faults for each seed")
	flags.DurationVar(&o.MeanGap, "gap", 400*time.Millisecond, "mean time between two faults")
	flags.BoolVar(&o.DomainLosses, "domain-losses", true, "also lose all VMs of a failure domain while flows open")
	flags.StringVar(&o.corpus, "corpus", "", "file with seeds that are run before the others, one a line, with a comment after #")
	flags.StringVar(&o.Dir, "dir", "", "directory for logs; empty: a temporary one")
	flags.BoolVar(&o.trace, "trace", false, "print each fault")
	return cmd
}

// run runs every seed and prints a line for each.
func (o *soakOptions) run(w io.Writer) error {
	if o.jobs < 1 || o.jobs > networkCount {
		return fmt.Errorf("jobs must be 1 to %d: %w", networkCount, ErrInvalidOption)
	}
	seeds, err := o.allSeeds()
	if err != nil {
		return err
	}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "gypsumspan-soak."); err != nil {
			return fmt.Errorf("dir: %w: %w", ErrInvalidOption, err)
		}
		defer os.Remove(o.Dir) // fails if logs of a broken promise are in it
	}
	pool, err := ants.NewPool(o.jobs)
	if err != nil {
		return fmt.Errorf("jobs: %w: %w", ErrInvalidOption, err)
	}
	defer pool.Release()
	var mu sync.Mutex
	var verdicts []error
	var running sync.WaitGroup
	for i, seed := range seeds {
		running.Add(1)
		err := pool.Submit(func() {
			defer running.Done()
			report, err := soak.Run(o.runOptions(i, seed, w))
			mu.Lock()
			defer mu.Unlock()
			verdicts = append(verdicts, writeSoak(w, report, err))
		})
		if err != nil {
			return fmt.Errorf("jobs: %w: %w", ErrInvalidOption, err)
		}
	}
	running.Wait()
	return errors.Join(verdicts...)
}

// runOptions returns the options of run i with the given seed.
func (o *soakOptions) runOptions(i int, seed uint64, w io.Writer) soak.Options {
	options := o.Options
	options.Seed = seed
	options.Network = byte(firstNetwork + i%networkCount)
	options.Dir = filepath.Join(o.Dir, fmt.Sprintf("seed-%d-%d", seed, i))
	if o.trace {
		options.Trace = w
	}
	return options
}

func writeSoak(w io.Writer, r *soak.Report, err error) error {
	if err != nil {
		return err
	}
	return errors.Join(r.WriteJSON(w), r.Verdict())
}

// allSeeds returns the seeds of the corpus, followed by seedCount seeds from firstSeed.
func (o *soakOptions) allSeeds() (seeds []uint64, err error) {
	if o.corpus != "" {
		if seeds, err = readCorpus(o.corpus); err != nil {
			return nil, err
		}
	}
	for i := range o.seedCount {
		seeds = append(seeds, o.firstSeed+uint64(i))
	}
	return seeds, nil
}

// readCorpus reads a file with one seed a line. A # starts a comment.
func readCorpus(path string) (seeds []uint64, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("corpus: %w: %w", ErrInvalidOption, err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("corpus: %q: %w", text, ErrInvalidOption)
		}
		seeds = append(seeds, seed)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("corpus: %w: %w", ErrInvalidOption, err)
	}
	return seeds, nil
}
