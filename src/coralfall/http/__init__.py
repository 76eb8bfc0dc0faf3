"""HTTP towards callers: uvicorn's server and protocol with bounds."""
