package operator

import (
	"net/http"

	"github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1/tarragonwellv1connect"
)

// NewClient returns a client of the instance with an operators' address.
func NewClient(address string) tarragonwellv1connect.OperatorServiceClient {
	return tarragonwellv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+address)
}
