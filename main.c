#include <apr_general.h>
#include <curl/curl.h>

#include "command.h"

int main(int argc, char **argv)
{
	int code;

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = command_run(argc, argv);
	curl_global_cleanup();
	apr_terminate();
	return code;
}
