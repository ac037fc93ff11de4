"""Use of the network link of this router's instance."""
