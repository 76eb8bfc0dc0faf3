"""What operators see: status, service levels, reports, the story of a request."""
