Feature: A planned stop interrupts no request

  Scenario: An entry is stopped under load
    Given 2 entries and 2 workers with 4 slots
    When callers send requests through all entries without pause
    And entry "e1" is asked to stop
    And entry "e1" has ended with status 0
    Then every caller got the whole answer to their own request

  Scenario: A request arrives on a kept-alive connection during the stop
    Given 1 entry and 1 worker with 2 slots
    When a caller keeps a connection to "e1" open
    And entry "e1" is asked to stop
    And entry "e1" accepts no more connections
    Then the caller's next request on it is answered with "connection: close"
    And entry "e1" has ended with status 0

  Scenario: A slow request is in flight when the stop is requested
    Given 1 entry and 1 worker with 2 slots
    When "slow" is sent as POST "/orders/a?work_s=1.0" in the background
    And the runners have started "slow"
    And entry "e1" is asked to stop
    Then "slow" ends with status 200
    And entry "e1" has ended with status 0

  Scenario: An agent is stopped with a slow request in flight
    Given 1 entry and 1 worker with 2 slots
    When "slow" is sent as POST "/orders/a?work_s=2.5" in the background
    And the runners have started "slow"
    And the agent of "w1" is asked to stop
    Then "slow" ends with status 200

  Scenario: A second signal ends the entry at once
    Given 1 entry and 1 worker with 2 slots
    When "slow" is sent as POST "/orders/a?work_s=4.0" with a deadline of 8000 ms in the background
    And the runners have started "slow"
    And entry "e1" is asked to stop
    And entry "e1" has logged "drain"
    And entry "e1" is asked to stop
    Then entry "e1" has ended
    And "slow" got no answer

  Scenario: A rolling restart of all processes under load
    Given 2 entries and 2 workers with 4 slots
    When callers send requests through all entries without pause
    And task "t" of 1.0 s is submitted
    And each entry and agent is stopped and started, one after the other
    Then every caller got the whole answer to their own request
    And task "t" ends as "finished"
    And no task ran in two places at once

  Scenario: A slow body is still arriving when the stop is requested
    Given 1 entry and 1 worker with 2 slots
    When a caller sends half of a request to "e1"
    And entry "e1" is asked to stop
    And entry "e1" has logged "drain"
    Then the request is answered once the caller has sent the rest
    And entry "e1" has ended with status 0

  Scenario: An agent is stopped under load
    Given 2 entries and 2 workers with 4 slots
    When callers send requests through all entries without pause
    And the agent of "w1" is asked to stop
    And the agent of "w1" has ended with status 0
    Then every caller got the whole answer to their own request
