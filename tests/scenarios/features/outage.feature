Feature: The platform's store is down for a long time

  Scenario: Interactive work continues, tasks stop at a checkpoint, nothing is lost
    Given 2 entries and 2 workers with 2 slots
    When 4 tasks "b" of 6.0 s and 1000 millicores are submitted through all entries
    And the workers run 4 tasks
    And the table is down
    Then requests are answered without a failure until every lease has run out
    And every run was stopped, none was lost
    When the table is up
    Then all tasks end as "finished"
    And no task ran in two places at once
    And all tasks resumed from a checkpoint

  Scenario: A slow store does not delay requests that do not need it
    Given 1 entry and 1 worker with 2 slots
    When the table is slow by 20 s
    Then 50 requests are answered without a failure

  Scenario: Requests that need the store are refused at once, also after a restart
    Given 2 entries and 1 worker with 2 slots
    When the table is down
    Then a key, a task and a profile change are each refused at once with a Retry-After time
    When entry "e1" is killed
    And entry "e1" is started
    Then requests are answered again
    And 50 requests are answered without a failure
    And a key, a task and a profile change are each refused at once with a Retry-After time
    When the table is up
    And "first" is sent as POST "/orders/a" with key "k1" until it runs
    Then "first" ends with status 200
    And the runners ran key "k1" once

  Scenario: Recovery causes no burst of commits
    Given 2 entries and 2 workers of 8 cores with 2 slots
    When the table is down
    And 120 callers with tasks and 60 with keys ask until the table is up
    And every one of them was refused
    And the table is up
    Then each of them was served exactly once
    And all tasks end as "finished"
    And no task was started more than once
    And no worker was given more than its capacity
    # Two journals and the claims of two entries, each with a commit every 5 ms at most.
    And the table saw fewer commits than callers in any second after it, half as many as changes, and at most 80 in any 100 ms
