#include "command.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>
#include <jansson.h>

#include "client.h"
#include "config.h"
#include "doc.h"
#include "edge.h"
#include "explain.h"
#include "log.h"
#include "mechanism.h"
#include "platform/platform.h"
#include "serve.h"

#ifndef VERSION
#define VERSION "0.1.0"
#endif

enum {
	ARG_ERRORS_MAX = 10,
	OPERATOR_TIMEOUT_MS = 5000,
	ASK_TIMEOUT_MS = 60000,
};

static const char *const exit_codes =
	"Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, partial or "
	"unknown.\n";

static void print_error(const struct error *err)
{
	const struct error_info *info = error_info(err->code);

	fprintf(stderr, "wasabimoor: %s: %s; %s\n", info->kind, err->text,
		info->remedy);
}

/*
 * The first entry of @table must be --help and the last one the arg_end.
 * Return: -1 to continue, otherwise the exit code.
 */
static int parse_args(int argc, char **argv, void **table, const char *summary)
{
	struct arg_lit *help = table[0];
	struct arg_end *end;
	int nerrors;
	int last = 0;

	if (arg_nullcheck(table)) {
		fprintf(stderr, "wasabimoor: out of memory\n");
		return EXIT_FAILED;
	}
	nerrors = arg_parse(argc, argv, table);
	if (help->count) {
		printf("Usage: wasabimoor %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		printf("%s\n\n", summary);
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		printf("\n%s", exit_codes);
		return EXIT_OK;
	}
	if (!nerrors)
		return -1;
	while (!(((struct arg_hdr *)table[last])->flag & ARG_TERMINATOR))
		last++;
	end = table[last];
	arg_print_errors(stderr, end, "wasabimoor");
	fprintf(stderr, "Try: wasabimoor %s --help\n", argv[0]);
	return EXIT_USAGE;
}

static struct arg_lit *help_arg(void)
{
	return arg_lit0("h", "help", "show this help");
}

#define ARGS_FREE(table) arg_freetable(table, sizeof(table) / sizeof(*(table)))

/* serve */

static int run_serve(int argc, char **argv)
{
	struct arg_file *settings =
		arg_file1("s", "settings", "FILE", "settings of this VM, JSON");
	void *table[] = { help_arg(), settings, arg_end(ARG_ERRORS_MAX) };
	struct error err = { 0 };
	int code = parse_args(argc, argv, table, "Run a node.");

	if (code < 0) {
		struct config *config =
			config_load(settings->filename[0], &err);

		if (config) {
			log_init(config->log_level);
			code = serve(config);
			log_deinit();
			config_free(config);
		} else {
			print_error(&err);
			code = EXIT_FAILED;
		}
	}
	ARGS_FREE(table);
	return code;
}

/* tier */

static int list_mechanisms(void)
{
	for (int i = 0; i < MECHANISM_COUNT; i++)
		printf("%-16s %s\n", mechanism_info(i)->name,
		       mechanism_info(i)->description);
	return EXIT_OK;
}

static int parse_disabled_mechanisms(const struct arg_str *names,
				     uint32_t *without)
{
	struct error err = { 0 };

	for (int i = 0; i < names->count; i++) {
		if (!mechanism_disable(str_of(names->sval[i]), without, &err))
			continue;
		print_error(&err);
		return EXIT_USAGE;
	}
	return EXIT_OK;
}

static int run_tier(int argc, char **argv)
{
	struct arg_int *metrics = arg_int0("m", "metrics-port", "PORT",
					   "serve counters on this port");
	struct arg_str *level = arg_str0("l", "log-level", "LEVEL",
					 "error, warn, info or debug");
	struct arg_str *names =
		arg_strn(NULL, "without", "NAME", 0, MECHANISM_COUNT,
			 "disable a mechanism, to measure its effect");
	struct arg_lit *list =
		arg_lit0(NULL, "list-mechanisms",
			 "list the mechanisms that can be disabled");
	void *table[] = { help_arg(), metrics, level,
			  names,      list,    arg_end(ARG_ERRORS_MAX) };
	struct edge_options opt = { .dialect = &platform_dialect };
	int code =
		parse_args(argc, argv, table,
			   "Serve the targets that a platform publishes. The "
			   "path of the settings stands in the environment "
			   "variable that the platform names.");

	if (code < 0 && list->count)
		code = list_mechanisms();
	else if (code < 0 && parse_disabled_mechanisms(names, &opt.without))
		code = EXIT_USAGE;
	if (code < 0) {
		opt.metrics_port =
			metrics->count ? (uint16_t)metrics->ival[0] : 0;
		log_init(str_of(level->count ? level->sval[0] : "info"));
		code = edge_run(&opt);
		log_deinit();
	}
	ARGS_FREE(table);
	return code;
}

/* check */

static int check_settings(const char *file)
{
	struct error err = { 0 };
	struct config *config = config_load(file, &err);

	if (!config) {
		print_error(&err);
		return EXIT_FAILED;
	}
	printf("%s: settings of %.*s in %.*s: correct\n", file,
	       STR_ARG(config->peer), STR_ARG(config->domain));
	config_free(config);
	return EXIT_OK;
}

static int check_lists(const char *file, struct str body)
{
	struct error err = { 0 };
	struct lists *lists = lists_parse(body, &err);

	if (!lists) {
		print_error(&err);
		return EXIT_FAILED;
	}
	printf("%s: lists version %llu, %zu plans: correct\n", file,
	       (unsigned long long)lists->version, lists->nplans);
	lists_free(lists);
	return EXIT_OK;
}

static int check_fleet(const char *file, struct str body)
{
	struct error err = { 0 };
	struct fleet *fleet = fleet_parse(body, &err);

	if (!fleet) {
		print_error(&err);
		return EXIT_FAILED;
	}
	printf("%s: fleet version %llu, %zu VMs, %zu targets: correct\n", file,
	       (unsigned long long)fleet->version, fleet->nvms,
	       fleet->ntargets);
	fleet_unref(fleet);
	return EXIT_OK;
}

static int check_doc(const char *file,
		     int (*check)(const char *file, struct str body))
{
	struct buf body = { 0 };
	struct error err = { 0 };
	int code = EXIT_FAILED;

	if (file_read(file, DOC_MAX_BYTES, &body, &err))
		print_error(&err);
	else
		code = check(file, buf_str(&body));
	buf_free(&body);
	return code;
}

static int run_check(int argc, char **argv)
{
	struct arg_file *settings =
		arg_file0("s", "settings", "FILE", "settings of a VM");
	struct arg_file *lists =
		arg_file0("l", "lists", "FILE", "plans and allowances");
	struct arg_file *fleet = arg_file0("f", "fleet", "FILE",
					   "domains, VMs, targets, snapshots");
	void *table[] = { help_arg(), settings, lists, fleet,
			  arg_end(ARG_ERRORS_MAX) };
	int code = parse_args(argc, argv, table,
			      "Check files with the code that a node uses.");

	if (code < 0) {
		code = EXIT_OK;
		if (settings->count && check_settings(settings->filename[0]))
			code = EXIT_FAILED;
		if (lists->count && check_doc(lists->filename[0], check_lists))
			code = EXIT_FAILED;
		if (fleet->count && check_doc(fleet->filename[0], check_fleet))
			code = EXIT_FAILED;
		if (!settings->count && !lists->count && !fleet->count) {
			fprintf(stderr, "wasabimoor: nothing to check; give a "
					"file\n");
			code = EXIT_USAGE;
		}
	}
	ARGS_FREE(table);
	return code;
}

/* Prints replies of the operators' port as tables. */

static void print_value(const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		printf("%s", json_string_value(value));
		return;
	}
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	printf("%s", text ? text : "");
	free(text);
}

static void print_rows(const json_t *rows)
{
	size_t i;
	json_t *row;

	json_array_foreach(rows, i, row)
	{
		const char *key;
		json_t *value;

		printf(" ");
		json_object_foreach(row, key, value)
		{
			printf(" %s=", key);
			print_value(value);
		}
		printf("\n");
	}
}

static void print_table(json_t *doc)
{
	const char *key;
	json_t *value;

	if (json_is_array(doc)) {
		print_rows(doc);
		return;
	}
	json_object_foreach(doc, key, value)
	{
		if (json_is_array(value) && json_array_size(value) &&
		    json_is_object(json_array_get(value, 0))) {
			printf("%s:\n", key);
			print_rows(value);
			continue;
		}
		if (json_is_object(value) && json_object_size(value) > 2) {
			printf("%s:\n", key);
			print_table(value);
			continue;
		}
		printf("%-28s ", key);
		print_value(value);
		printf("\n");
	}
}

static void print_body(const struct buf *body, bool json)
{
	json_t *doc = json ? NULL : json_loadb(body->ptr, body->len, 0, NULL);

	if (doc)
		print_table(doc);
	else
		printf("%.*s\n", (int)body->len, body->ptr);
	json_decref(doc);
}

static int operator_call(int argc, char **argv, const char *path, bool post,
			 const char *summary)
{
	struct arg_str *addr = arg_str1("a", "address", "IP:PORT",
					"operators' address of the node");
	struct arg_lit *json = arg_lit0("j", "json", "print JSON");
	void *table[] = { help_arg(), addr, json, arg_end(ARG_ERRORS_MAX) };
	struct error err = { 0 };
	struct buf body = { 0 };
	int code = parse_args(argc, argv, table, summary);

	if (code < 0) {
		int status = client_call(str_of(addr->sval[0]), path,
					 post ? STR("") : (struct str){ 0 },
					 OPERATOR_TIMEOUT_MS, &body, &err);

		if (status < 0)
			print_error(&err);
		else
			print_body(&body, json->count > 0);
		code = status == 200 ? EXIT_OK : EXIT_FAILED;
	}
	buf_free(&body);
	ARGS_FREE(table);
	return code;
}

static int run_status(int argc, char **argv)
{
	return operator_call(argc, argv, "/status", false,
			     "Show a node's state, documents, VMs, targets.");
}

static int run_audit(int argc, char **argv)
{
	return operator_call(argc, argv, "/audit", false,
			     "Show what changed, from what, to what, and why.");
}

static int run_counters(int argc, char **argv)
{
	return operator_call(argc, argv, "/counters", false,
			     "Show counters, by target and customer too.");
}

static int run_drain(int argc, char **argv)
{
	return operator_call(argc, argv, "/drain", true,
			     "Begin the planned stop of a node.");
}

/* ask */

static void add_field(json_t *doc, const char *key, const struct arg_str *arg)
{
	if (arg->count)
		json_object_set_new(doc, key, json_string(arg->sval[0]));
}

static struct buf question_body(const struct arg_str *customer,
				const struct arg_str *id,
				const struct arg_str *terms,
				const struct arg_str *index,
				const struct arg_int *deadline)
{
	json_t *doc = json_object();
	json_t *indexes = json_array();
	struct buf body = { 0 };

	add_field(doc, "customer", customer);
	add_field(doc, "terms", terms);
	json_object_set_new(doc, "request_id",
			    json_string(id->count ? id->sval[0] : "ask"));
	for (int i = 0; i < index->count; i++)
		json_array_append_new(indexes, json_string(index->sval[i]));
	json_object_set_new(doc, "indexes", indexes);
	if (deadline->count)
		json_object_set_new(doc, "deadline_ms",
				    json_integer(deadline->ival[0]));

	char *text = json_dumps(doc, JSON_COMPACT);

	buf_str_add(&body, str_of(text));
	free(text);
	json_decref(doc);
	return body;
}

static int ask_exit_code(int status, const struct buf *body)
{
	json_t *doc =
		json_loadb(body->ptr ? body->ptr : "", body->len, 0, NULL);
	bool complete = json_is_true(json_object_get(doc, "complete"));

	json_decref(doc);
	return status == 200 && complete ? EXIT_OK : EXIT_PARTIAL;
}

static int run_ask(int argc, char **argv)
{
	struct arg_str *addr = arg_str1("a", "address", "IP:PORT",
					"callers' address of a node");
	struct arg_str *customer =
		arg_str1("c", "customer", "NAME", "customer that asks");
	struct arg_str *index =
		arg_strn("i", "index", "NAME", 1, 16, "index to search");
	struct arg_str *terms = arg_str0("t", "terms", "TEXT", "search terms");
	struct arg_str *id =
		arg_str0("r", "request-id", "ID", "echoed in the answer");
	struct arg_int *deadline =
		arg_int0("d", "deadline-ms", "MS", "time limit of the answer");
	struct arg_lit *json = arg_lit0("j", "json", "print JSON");
	void *table[] = { help_arg(), addr,  customer,
			  index,      terms, id,
			  deadline,   json,  arg_end(ARG_ERRORS_MAX) };
	int code = parse_args(argc, argv, table, "Ask a question.");

	if (code < 0) {
		struct error err = { 0 };
		struct buf answer = { 0 };
		struct buf body =
			question_body(customer, id, terms, index, deadline);
		int status = client_call(str_of(addr->sval[0]), "/v1/questions",
					 buf_str(&body), ASK_TIMEOUT_MS,
					 &answer, &err);

		if (status < 0) {
			print_error(&err);
			code = EXIT_FAILED;
		} else {
			print_body(&answer, json->count > 0);
			code = ask_exit_code(status, &answer);
		}
		buf_free(&body);
		buf_free(&answer);
	}
	ARGS_FREE(table);
	return code;
}

/* explain */

static void explain_file(struct explain *explain, FILE *file)
{
	char *line = NULL;
	size_t cap = 0;
	ssize_t len;

	while ((len = getline(&line, &cap, file)) > 0)
		explain_line(explain, (struct str){ line, (size_t)len });
	free(line);
}

static int explain_files(struct explain *explain, const struct arg_file *files)
{
	if (!files->count)
		explain_file(explain, stdin);
	for (int i = 0; i < files->count; i++) {
		FILE *file = fopen(files->filename[i], "r");

		if (!file) {
			struct error err;

			error_set(&err, ERR_IO, "%s: %s", files->filename[i],
				  strerror(errno));
			print_error(&err);
			return EXIT_FAILED;
		}
		explain_file(explain, file);
		fclose(file);
	}
	return EXIT_OK;
}

static int run_explain(int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "id of the request");
	struct arg_file *files =
		arg_filen(NULL, NULL, "LOG", 0, 1000,
			  "logs of nodes; standard input if none is given");
	void *table[] = { help_arg(), id, files, arg_end(ARG_ERRORS_MAX) };
	int code =
		parse_args(argc, argv, table,
			   "Print a request's log lines and the cause of its "
			   "failure.");

	if (code < 0) {
		struct explain *explain = explain_create(str_of(id->sval[0]));
		struct buf out = { 0 };

		code = explain_files(explain, files);
		if (code == EXIT_OK && !explain_text(explain, &out))
			code = EXIT_PARTIAL;
		printf("%.*s", (int)out.len, out.ptr ? out.ptr : "");
		buf_free(&out);
		explain_destroy(explain);
	}
	ARGS_FREE(table);
	return code;
}

static int run_version(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	printf("wasabimoor %s\n", VERSION);
	return EXIT_OK;
}

static const struct command commands[] = {
	{ "serve", "run a node", run_serve },
	{ "tier", "serve the targets that a platform publishes", run_tier },
	{ "check", "check settings, lists and fleet files", run_check },
	{ "ask", "ask a question", run_ask },
	{ "status", "show a node's state", run_status },
	{ "audit", "show a node's audit trail", run_audit },
	{ "counters", "show a node's counters", run_counters },
	{ "drain", "begin the planned stop of a node", run_drain },
	{ "explain", "print the cause of a request's failure", run_explain },
	{ "version", "show the version", run_version },
};

static void print_usage(FILE *out)
{
	fprintf(out, "Usage: wasabimoor COMMAND [OPTION]...\n\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(*commands); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].summary);
	fprintf(out, "\nEach command accepts --help. %s", exit_codes);
}

int command_run(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return EXIT_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		print_usage(stdout);
		return EXIT_OK;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(*commands); i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "wasabimoor: unknown command \"%s\"; see --help\n",
		argv[1]);
	return EXIT_USAGE;
}
