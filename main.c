#include <apr_general.h>

#include "command.h"

int main(int argc, char **argv)
{
	int code;

	apr_initialize();
	code = command_run(argc, argv);
	apr_terminate();
	return code;
}
