#!/bin/sh
# Coverage-guided fuzzing of the decoders: RUNS inputs from a fixed seed.
#   sh scripts/fuzz.sh [RUNS [SEED]]
# For stateful fuzzing over a range of seeds: build/tests/fuzz FIRST COUNT.
set -e
cd "$(dirname "$0")/.."
runs=${1:-100000}
seed=${2:-1}
mkdir -p out/corpus
clang -g -O1 -fsanitize=fuzzer,address,undefined -D_GNU_SOURCE \
	$(pkg-config --cflags apr-1 apr-util-1 libprotobuf-c jansson libcurl) \
	tests/fuzz_input.c request.c config.c doc.c error.c json.c str.c target.c \
	wire.c wire.pb-c.c xmalloc.c catalog.c payload.c reply.c reply_syntax.c headers.c \
	platform/*.c -o out/fuzz-input \
	$(pkg-config --libs apr-1 apr-util-1 libprotobuf-c jansson libxxhash libcurl zlib) -lhttp_parser
# Initial corpus: one valid input for each decoder below.
printf '\001{"version":1,"domains":[{"name":"a","state":"in"}],"vms":[],"targets":[{"name":"t","address":"127.0.0.1:1","domain":"a","state":"live","slots":2,"connections":25}],"snapshots":[{"version":1,"shards":[{"id":1,"index":"i","from":0,"to":9,"replicas":["t"]}]}]}' >out/corpus/fleet
printf '\002{"version":1,"plans":[{"customer":"c","plan":"p"}],"allowances":[{"plan":"p","indexes":["i"],"entries":[],"deadline_ms":9}]}' >out/corpus/lists
printf '\004{"customer":"c","request_id":"r","indexes":["i"],"shards":[1]}' >out/corpus/ask
printf '\005{"boot":"b","load":1,"job":1,"shard":1,"version":1,"rows":[{}]}' >out/corpus/reply
printf '\006{"version":1,"routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent","gather":["s"],"top_k":5,"min_share":0.5}],"services":[{"name":"s","health_path":"/h","max_conns":9}],"limits":{}}' >out/corpus/config
printf '\006{"service":"s","addr":"1.2.3.4:5","zone":"z","version":"v","slots":2,"state":"ready","cold_left_ms":0,"seq":4,"born":7}' >out/corpus/entry
printf '\006{"items":[{"key":"a","value":"Yg==","revision":3}],"events":[],"as_of":5}' >out/corpus/page
printf '\010\040HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nC: d\r\n\r\n' >out/corpus/head
printf '\010\001HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 404\nContent-Length: 1\r\n\r\nx' >out/corpus/heads
exec out/fuzz-input -runs="$runs" -seed="$seed" -max_len=2048 \
	-artifact_prefix=out/ -print_final_stats=1 out/corpus
