#pragma once

#include <apr_general.h>
#include <check.h>

enum {
	SUITE_TIMEOUT_S = 120
};

/** suite_run() - run a suite of one test case; returns main()'s exit code */
static inline int suite_run(const char *name, void (*add)(TCase *tcase))
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create(name);
	SRunner *runner;
	int failed;

	apr_initialize();
	tcase_set_timeout(tcase, SUITE_TIMEOUT_S);
	add(tcase);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
