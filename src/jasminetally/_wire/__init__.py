"""Client pool and server for the Thrift messages between routers."""
