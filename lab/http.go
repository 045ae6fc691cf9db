package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	// httpTimeout bounds one HTTP request of the command line.
	httpTimeout = 10 * time.Second
	// maxHTTPResponseBytes bounds the part of a response body that is read.
	maxHTTPResponseBytes = 16 << 20
)

// Request makes an HTTP request and returns the body of the response. It returns
// ErrHTTP if the request fails or the status is not 200.
func Request(ctx context.Context, method, url, body string) ([]byte, error) {
	return request(ctx, clientFor(ctx, url), method, url, body)
}

func request(ctx context.Context, client *http.Client, method, url, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrHTTP, err)
	}
	request.Close = true
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrHTTP, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxHTTPResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrHTTP, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s %s: %s: %s", ErrHTTP, method, url, response.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}

func httpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "http METHOD URL [BODY]",
		Short: "Make an HTTP request to a stand-in or an admin address and print the answer",
		Example: `  gypsumlab http GET http://127.0.0.1:7500/metrics
  gypsumlab http POST http://127.0.0.1:21001/control '{"slow":3}'`,
		Args: cobra.RangeArgs(2, 3),
		RunE: func(cmd *cobra.Command, args []string) error {
			body := ""
			if len(args) > 2 {
				body = args[2]
			}
			data, err := Request(cmd.Context(), args[0], args[1], body)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(data)
			return err
		},
	}
}
